package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.GrantedRange;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.KeyLoad;
import io.daisyhoist.core.keyrange.RegistrationLease;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;

/**
 * Control state of one daemon: the fleet state read from the store, the daemon's registration, the local backend server
 * and the keys that it holds.
 *
 * <p>All state is confined to the control thread, which publishes immutable snapshots for the request path. Public methods
 * may be called from any thread.
 */
public final class FleetControl implements BackendReportHandler, ForwardReceiver.PeerMessageListener {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Time for which key leases may be granted after the last confirmed registration; longer than most store outages. */
    static final Duration REGISTRATION_LEASE_DURATION = Duration.ofMillis(9_000);

    /** Time after which keys of an absent daemon may be reassigned: the registration lease, drift and a margin for pauses. */
    static final Duration MEMBER_EXPIRY = Duration.ofMillis(9_900);

    /** Short enough that the keys of a backend server that stopped sending heartbeats can move soon. */
    private static final Duration KEY_LEASE_DURATION = Duration.ofMillis(5_000);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
    private static final Duration LOAD_REPORT_INTERVAL = Duration.ofMillis(500);

    private final FleetSettings settings;
    private final long incarnation;
    private final TimeSource time;
    private final ControlExecutor control;
    private final FleetMetrics metrics;
    private final FleetState state;
    private final StoreCache operatorCache;
    private final StoreCache fleetCache;
    private final Registration registration;
    private final RegistrationLease registrationLease;
    private final KeyLeases keyLeases;
    private final KeyLoad keyLoad;
    private final RangeAssigner rangeAssigner;
    private final FleetGossip gossip;
    private final HeartbeatResponder heartbeatResponder;
    private final DepartureRecord departures;
    private Optional<LocalBackend> backend = Optional.empty();
    private boolean operatorSynchronized;
    private boolean fleetSynchronized;
    private boolean stopping;
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile LocalBackendSnapshot localBackend = LocalBackendSnapshot.EMPTY;
    private volatile boolean ready;

    /** Sends one-way messages to other daemons. */
    public interface PeerSender {
        /** Sends a message to each of the given daemons. */
        void send(List<FleetMember> receivers, Envelope message);
    }

    /**
     * Dependencies. Immutable.
     *
     * @param time clock
     * @param control control thread
     * @param store metadata store
     * @param documents decoder of operator items
     * @param peerSender sends messages to other daemons
     * @param metrics counters of ignored input and of failures
     */
    public record Dependencies(
            TimeSource time,
            ControlExecutor control,
            MetadataStore store,
            OperatorDocuments documents,
            PeerSender peerSender,
            FleetMetrics metrics) {}

    /** Creates empty control state; {@link #start} starts reading the store. */
    public FleetControl(FleetSettings settings, long incarnation, Dependencies dependencies) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.time = dependencies.time();
        this.control = dependencies.control();
        this.metrics = dependencies.metrics();
        MetadataStore store = dependencies.store();
        OperatorDocuments documents = dependencies.documents();
        StoreAccess access = new StoreAccess(store, control, time, new CallbackGuard(metrics::onFailedCallback));
        this.state = new FleetState(
                time, documents, MEMBER_EXPIRY, this::publishFleet, () -> metrics.onRejectedInput("store"));
        this.operatorCache = new StoreCache(documents.prefix(), access, new OperatorListener());
        this.fleetCache = new StoreCache("daisyhoist/", access, new FleetListener());
        this.gossip = new FleetGossip(
                settings.daemon(),
                time,
                incarnation,
                operatorCache,
                this::fleet,
                this::localKeyLoad,
                dependencies.peerSender());
        this.registration = new Registration(
                FleetState.memberKey(settings.daemon()),
                member(),
                access,
                settings.bounds().minLeaseTtl(),
                new RegistrationListener());
        this.departures = new DepartureRecord(settings.daemon(), access, this::onDepartureLoaded);
        Duration keyLeaseDuration =
                KEY_LEASE_DURATION.compareTo(settings.bounds().maxKeyLease()) < 0
                        ? KEY_LEASE_DURATION
                        : settings.bounds().maxKeyLease();
        this.registrationLease = new RegistrationLease(time, REGISTRATION_LEASE_DURATION, keyLeaseDuration);
        this.keyLeases = new KeyLeases(
                time, settings.daemon(), registrationLease, settings.bounds().maxKeyLease());
        this.keyLoad = new KeyLoad(time);
        this.rangeAssigner = new RangeAssigner(
                settings.daemon(),
                state,
                keyLeases,
                keyLoad,
                new RangeAssigner.Dependencies(
                        store,
                        control,
                        time,
                        settings.bounds().heartbeatInterval(),
                        registration::firstRevision,
                        registrationLease),
                gossip);
        this.heartbeatResponder = new HeartbeatResponder(
                time,
                control,
                keyLeases,
                registrationLease,
                service -> state.table(service).filter(table -> isKeyed(service)),
                rangeAssigner,
                this::publishLocal);
    }

    /** Starts reading the store and registers this daemon. */
    public void start() {
        control.execute(() -> {
            operatorCache.reload();
            fleetCache.reload();
            departures.load();
            registration.start();
        });
        control.scheduleWithFixedDelay(this::tick, TICK_INTERVAL);
        control.scheduleWithFixedDelay(this::reportLoad, LOAD_REPORT_INTERVAL);
    }

    /** Returns the most recent snapshot of the fleet. */
    public FleetSnapshot fleet() {
        return fleet;
    }

    /** Returns the most recent snapshot of the local backend server. */
    public LocalBackendSnapshot localBackend() {
        return localBackend;
    }

    /** Returns whether the initial state has been read from the store, a configuration is known and no stop is in progress. */
    public boolean isReady() {
        return ready;
    }

    /** Announces to the other daemons that the local backend server accepts no further requests. */
    public void stopAccepting() {
        control.execute(() -> {
            stopping = true;
            ready = false;
            registration.update(member());
        });
    }

    /** Records a request for a key of the local backend server. */
    public void onKeyRequest(int key, Duration expectedDuration) {
        control.execute(() -> keyLoad.onRequest(key, expectedDuration));
    }

    @Override
    public void onLoad(FleetLoad load) {
        control.execute(() -> accept("load", PeerMessages.decode(load), gossip::onLoad));
    }

    @Override
    public void onOperatorItems(OperatorItems items) {
        control.execute(() ->
                accept("operator_items", PeerMessages.decode(items, operatorCache.prefix()), gossip::onOperatorItems));
    }

    private <T> void accept(String message, Decoded<T> decoded, Consumer<T> consumer) {
        if (decoded instanceof Decoded.Valid<T> valid) {
            consumer.accept(valid.value());
        } else if (decoded instanceof Decoded.Rejected<T> rejected) {
            metrics.onRejectedInput("peer");
            LOGGER.atWarning().log("event=peer_message_rejected message=%s reason=\"%s\"", message, rejected.reason());
        }
    }

    private double localKeyLoad() {
        return state.table(member().service())
                .map(table -> rangeAssigner.localLoad(table.table()))
                .orElse(0.0);
    }

    @Override
    public CompletableFuture<Optional<KeyLeases.Reply>> onHeartbeat(BackendHeartbeat heartbeat) {
        CompletableFuture<Optional<KeyLeases.Reply>> reply = new CompletableFuture<>();
        control.execute(() -> {
            try {
                handleHeartbeat(heartbeat, reply);
            } catch (RuntimeException e) {
                reply.completeExceptionally(e);
                throw e;
            }
        });
        return reply;
    }

    private void handleHeartbeat(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyLeases.Reply>> reply) {
        heartbeatResponder.sendDeferredReply();
        LocalBackend.Change change = LocalBackend.classify(backend, heartbeat);
        if (change == LocalBackend.Change.STALE) {
            LOGGER.atInfo().log(
                    "event=heartbeat_stale backend=%s sequence=%d known=%s",
                    heartbeat.process(),
                    heartbeat.sequence(),
                    backend.map(LocalBackend::process).orElseThrow());
            reply.complete(Optional.empty());
            return;
        }
        LocalBackend previous = backend.orElse(null);
        LocalBackend reported = LocalBackend.afterHeartbeat(backend, heartbeat, time);
        if (reported.leaving()) {
            departures.add(reported.process());
        }
        backend = Optional.of(departures.contains(reported.process()) ? reported.asLeaving() : reported);
        logChange(previous, change);
        keyLeases.onHeartbeat(heartbeat);
        registration.update(member());
        if (isKeyed(heartbeat.service())) {
            rangeAssigner.tick(heartbeat.service(), backend);
        }
        boolean mayDefer = !heartbeat.draining() && !keyLeases.hasMoves();
        if (mayDefer && (gossip.isKeyMoveAnnounced() || isStarting(heartbeat.service()))) {
            heartbeatResponder.deferReply(heartbeat, reply);
        } else {
            heartbeatResponder.replyNow(heartbeat, reply);
        }
        publishLocal();
    }

    /** Returns whether this process cannot yet determine which keys its backend server has to hold. */
    private boolean isStarting(ServiceName service) {
        if (fleet.config().isEmpty() || !fleetSynchronized) {
            return true;
        }
        return isKeyed(service)
                && state.table(service)
                        .filter(table -> !rangeAssigner.isPredecessorFenced(table))
                        .isPresent();
    }

    private void logChange(LocalBackend previous, LocalBackend.Change change) {
        LocalBackend current = backend.orElseThrow();
        boolean changed = change == LocalBackend.Change.NEW_PROCESS
                || previous.leaving() != current.leaving()
                || previous.isCold(time) != current.isCold(time);
        if (changed) {
            LOGGER.atInfo().log(
                    "event=backend_changed change=%s backend=%s sequence=%d service=%s slots=%d leaving=%s cold_ms=%d",
                    change,
                    current.process(),
                    current.heartbeat().sequence(),
                    current.heartbeat().service(),
                    current.heartbeat().slots(),
                    current.leaving(),
                    current.heartbeat().coldRemaining().toMillis());
        }
    }

    private boolean isKeyed(ServiceName service) {
        return fleet.config()
                .flatMap(config -> config.service(service))
                .filter(ServicePolicy::keyed)
                .isPresent();
    }

    @Override
    public CompletableFuture<Void> onLeaving(String backendId, OptionalLong startedMillis) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        control.execute(() -> {
            Optional<LocalBackend> leaving =
                    backend.filter(known -> known.process().matches(backendId, startedMillis));
            backend = leaving.map(LocalBackend::asLeaving).or(() -> backend);
            leaving.map(LocalBackend::process)
                    .or(() -> processId(backendId, startedMillis))
                    .ifPresent(departures::add);
            LOGGER.atInfo().log(
                    "event=backend_leaving backend=%s known=%s",
                    backendId,
                    backend.map(LocalBackend::process).map(Object::toString).orElse("none"));
            publishLocal();
            registration.update(member());
            done.complete(null);
        });
        return done;
    }

    private static Optional<BackendProcessId> processId(String backendId, OptionalLong startedMillis) {
        return startedMillis.isPresent()
                ? Optional.of(new BackendProcessId(backendId, startedMillis.getAsLong()))
                : Optional.empty();
    }

    private void onDepartureLoaded() {
        if (backend.filter(known -> departures.contains(known.process())).isPresent()) {
            backend = backend.map(LocalBackend::asLeaving);
            publishLocal();
            registration.update(member());
        }
    }

    private FleetMember member() {
        Optional<FleetMember.MemberBackend> memberBackend = backend.map(known -> new FleetMember.MemberBackend(
                known.process().id(),
                known.process().startedMillis(),
                known.heartbeat().slots(),
                !known.leaving() && !stopping));
        return new FleetMember(
                settings.daemon(),
                incarnation,
                settings.zone(),
                settings.peerAddress().host(),
                settings.peerAddress().port(),
                backend.map(known -> known.heartbeat().service()).orElse(settings.service()),
                memberBackend);
    }

    private void tick() {
        state.removeExpiredMembers();
        rangeAssigner.tick(member().service(), backend);
        boolean initialized =
                operatorSynchronized && fleetSynchronized && fleet.config().isPresent();
        ready = (ready || initialized) && !stopping;
    }

    private void reportLoad() {
        keyLoad.decay();
        ServiceName service = member().service();
        gossip.report(member -> isKeyed(service) && member.service().equals(service));
    }

    private void publishFleet(FleetSnapshot snapshot) {
        fleet = snapshot;
        heartbeatResponder.onChange();
    }

    private void publishLocal() {
        List<GrantedRange> grantedRanges = keyLeases.grantedRanges();
        localBackend = new LocalBackendSnapshot(
                backend,
                grantedRanges,
                heartbeatResponder.keyLeaseEndNanos(),
                isKeyed(member().service())
                        && registrationLease.grantableLease().isPresent());
    }

    /** Receives changes of operator items. */
    private final class OperatorListener implements StoreCache.Listener {
        @Override
        public void onBatch(Runnable changes) {
            state.applyBatch(changes);
        }

        @Override
        public void onItem(StoredItem item) {
            state.onOperatorItem(item);
        }

        @Override
        public void onDeleted(String key) {
            state.onOperatorDeleted(key);
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            operatorSynchronized = true;
        }
    }

    /** Receives changes of items that daemons write. */
    private final class FleetListener implements StoreCache.Listener {
        @Override
        public void onBatch(Runnable changes) {
            state.applyBatch(changes);
        }

        @Override
        public void onItem(StoredItem item) {
            state.onFleetItem(item);
        }

        @Override
        public void onDeleted(String key) {
            state.onFleetDeleted(key);
            if (key.equals(FleetState.memberKey(settings.daemon()))) {
                registration.onEntryEvent(Optional.empty());
            }
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            fleetSynchronized = true;
            if (registration.isRegistered()) {
                registrationLease.onConfirmed(sentAt);
                heartbeatResponder.onChange();
            }
        }
    }

    /** Receives changes of this daemon's registration. */
    private final class RegistrationListener implements Registration.Listener {
        @Override
        public void onConfirmed(ElapsedTimer sentAt) {
            if (fleetSynchronized) {
                registrationLease.onConfirmed(sentAt);
                heartbeatResponder.onChange();
            }
        }

        @Override
        public void onStoreRecovered() {
            LOGGER.atInfo().log("event=dependency_regained dependency=store outcome=read_again");
            operatorCache.reload();
            fleetCache.reload();
        }

        @Override
        public void onRegistered() {
            fleetSynchronized = false;
            fleetCache.reload();
        }
    }
}
