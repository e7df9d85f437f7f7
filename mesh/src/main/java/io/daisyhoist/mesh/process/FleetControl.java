package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.customer.ConfigConfirmation;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
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
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoreDelta;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.daisyhoist.wire.proto.Envelope;

/**
 * Control state of one daemon: the fleet state read from the store, the daemon's registration, the local backend server
 * and the keys that it holds.
 *
 * <p>All state is confined to the control thread, which publishes immutable snapshots for the request path. Public methods
 * may be called from any thread.
 */
public final class FleetControl implements BackendReportHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Time for which key leases may be granted after the last confirmed registration; longer than most store outages. */
    static final Duration REGISTRATION_LEASE_DURATION = Duration.ofMillis(9_000);

    /** Time after which keys of an absent daemon may be reassigned: the registration lease, drift and a margin for pauses. */
    static final Duration MEMBER_EXPIRY = Duration.ofMillis(9_900);

    /** Short enough that the keys of a backend server that stopped sending heartbeats can move soon. */
    private static final Duration KEY_LEASE_DURATION = Duration.ofMillis(5_000);

    /** Longer than the interval of heartbeats, so that the first one has usually arrived. */
    private static final Duration MAX_REGISTRATION_DELAY = Duration.ofMillis(1_000);

    private static final Duration TICK_INTERVAL = Duration.ofMillis(200);
    private static final Duration LOAD_REPORT_INTERVAL = Duration.ofMillis(500);

    private final FleetSettings settings;
    private final TimeSource time;
    private final ControlExecutor control;
    private final OperatorDocuments documents;
    private final FleetState state;
    private final StoreCache operatorCache;
    private final StoreCache fleetCache;
    private final Registration registration;
    private final RegistrationLease registrationLease;
    private final KeyLeases keyLeases;
    private final KeyLoad keyLoad;
    private final RangeAssigner rangeAssigner;
    private final TableRecovery tableRecovery;
    private final FleetGossip gossip;
    private final HeartbeatResponder heartbeatResponder;
    private final DepartureRecord departures;
    private final LocalBackendTracker tracker;
    private final StoreFollower follower;
    private final ConfigConfirmation configConfirmation;
    private final ConfirmationLoop confirmationLoop;
    private final PeerMessageHandler peerMessageHandler;
    private boolean eraKnown;
    private boolean operatorSynchronized;
    private boolean fleetSynchronized;
    private boolean registrationStarted;
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile LocalBackendSnapshot localBackend = LocalBackendSnapshot.EMPTY;
    private volatile boolean ready;

    /** Sends messages to other daemons. */
    public interface PeerSender {
        /** Sends a one-way message to each of the given daemons. */
        void send(List<FleetMember> receivers, Envelope message);

        /** Sends a question; the answer fails if it does not arrive in time, or if questions are not supported. */
        default CompletableFuture<Envelope> call(FleetMember receiver, Envelope question, Duration timeout) {
            return CompletableFuture.failedFuture(new UnsupportedOperationException("questions are not supported"));
        }
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
        this.time = dependencies.time();
        this.control = dependencies.control();
        FleetMetrics metrics = dependencies.metrics();
        MetadataStore store = dependencies.store();
        this.documents = dependencies.documents();
        StoreAccess access = new StoreAccess(store, control, time, new CallbackRunner(metrics::onFailedCallback));
        this.state = new FleetState(
                time, documents, MEMBER_EXPIRY, this::publishFleet, () -> metrics.onRejectedInput("store"));
        this.departures = new DepartureRecord(settings.daemon(), access, this::onDepartureLoaded);
        this.tracker = new LocalBackendTracker(settings, incarnation, time, departures);
        this.operatorCache = new StoreCache(documents.prefix(), access, new OperatorListener());
        this.fleetCache = new StoreCache("daisyhoist/", access, new FleetListener());
        this.follower = new StoreFollower(
                settings.daemon(), settings.zone(), access, operatorCache, fleetCache, dependencies.peerSender());
        this.gossip = new FleetGossip(
                settings.daemon(),
                time,
                incarnation,
                operatorCache,
                this::fleet,
                this::localReport,
                dependencies.peerSender());
        this.configConfirmation =
                new ConfigConfirmation(time, settings.bounds().customers().revocationDelay());
        this.confirmationLoop = new ConfirmationLoop(
                settings.daemon(),
                access,
                new ConfirmationLoop.State(operatorCache, configConfirmation, this::fleet, follower::watcher),
                dependencies.peerSender(),
                incarnation);
        this.peerMessageHandler =
                new PeerMessageHandler(control, metrics, gossip, follower, confirmationLoop, documents.prefix());
        this.registration =
                new Registration(tracker.member(), access, settings.bounds().minLeaseTtl(), new RegistrationListener());
        Duration keyLeaseDuration =
                KEY_LEASE_DURATION.compareTo(settings.bounds().maxKeyLease()) < 0
                        ? KEY_LEASE_DURATION
                        : settings.bounds().maxKeyLease();
        this.registrationLease = new RegistrationLease(time, REGISTRATION_LEASE_DURATION, keyLeaseDuration);
        this.keyLeases = new KeyLeases(
                time, settings.daemon(), registrationLease, settings.bounds().maxKeyLease());
        this.keyLoad = new KeyLoad(time);
        this.tableRecovery = new TableRecovery(settings.daemon(), state, keyLeases, registrationLease, time);
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
                        registrationLease,
                        tableRecovery),
                gossip);
        this.heartbeatResponder = new HeartbeatResponder(
                time,
                control,
                keyLeases,
                registrationLease,
                service -> tableRecovery.grantable(service).filter(table -> isKeyed(service)),
                rangeAssigner,
                this::publishLocal);
        store.setEraListener(era -> control.execute(() -> onEra(era, metrics)));
    }

    /** Handles the first era of the store and each later one, in which the store has come back from an older copy. */
    private void onEra(StoreEra era, FleetMetrics metrics) {
        StoreEra earlier = state.era();
        boolean first = !eraKnown;
        eraKnown = true;
        tableRecovery.onEra(era, tracker.member().service(), rangeAssigner::isPredecessorFenced);
        if (first) {
            return;
        }
        LOGGER.atWarning().log(
                "event=store_era_changed era=%d earlier=%d operator_as_of=%d fleet_as_of=%d outcome=read_and_write_again",
                era.number(),
                earlier.number(),
                StoreEra.withoutEra(operatorCache.asOf()),
                StoreEra.withoutEra(fleetCache.asOf()));
        metrics.onStoreEraChange();
        fleetSynchronized = false;
        operatorCache.reload();
        fleetCache.reload();
        registration.onEra();
        departures.onEra();
    }

    /** Starts reading the store and registers this daemon. */
    public void start() {
        control.execute(() -> {
            operatorCache.reload();
            departures.load();
        });
        control.scheduleOnce(this::register, MAX_REGISTRATION_DELAY);
        control.scheduleWithFixedDelay(this::tick, TICK_INTERVAL);
        control.scheduleWithFixedDelay(this::reportLoad, LOAD_REPORT_INTERVAL);
        control.scheduleWithFixedDelay(confirmationLoop::tick, ConfirmationLoop.TICK_INTERVAL);
    }

    /** Waits for the first heartbeat if it arrives soon, so that the entry does not change right after its first write. */
    private void register() {
        if (!registrationStarted) {
            registrationStarted = true;
            registration.start();
        }
    }

    /** Returns the most recent snapshot of the fleet. */
    public FleetSnapshot fleet() {
        return fleet;
    }

    /** Returns the most recent snapshot of the local backend server. */
    public LocalBackendSnapshot localBackend() {
        return localBackend;
    }

    /** Returns how long ago the configuration was last proved to be the newest one. */
    public ConfigConfirmation configConfirmation() {
        return configConfirmation;
    }

    /** Returns whether the initial state has been read from the store, a configuration is known and no stop is in progress. */
    public boolean isReady() {
        return ready;
    }

    /** Returns whether the store confirmed the registration so recently that no other daemon may have taken this one for lost. */
    public boolean isRegistrationConfirmed() {
        return registrationLease.isConfirmedWithin(REGISTRATION_LEASE_DURATION);
    }

    /** Returns whether this daemon certainly has no earlier process that has ended recently. */
    public boolean isFirstProcess() {
        return registration.isFirstOfDaemon();
    }

    /** Returns whether this daemon watches the store itself instead of following another daemon. */
    public boolean isWatchingStore() {
        return follower.isWatching();
    }

    /** Announces to the other daemons that the local backend server accepts no further requests. */
    public void stopAccepting() {
        control.execute(() -> {
            tracker.stopAccepting();
            ready = false;
            registration.update(tracker.member());
        });
    }

    /** Records a request for a key of the local backend server. */
    public void onKeyRequest(int key, Duration expectedDuration) {
        control.execute(() -> keyLoad.onRequest(key, expectedDuration));
    }

    /** Returns the handler of control messages of other daemons. */
    public ForwardReceiver.PeerMessageListener peerMessageListener() {
        return peerMessageHandler;
    }

    private PeerMessages.LoadReport localReport() {
        double keyBusySlots = state.table(tracker.member().service())
                .map(table -> rangeAssigner.localLoad(table.table()))
                .orElse(0.0);
        return new PeerMessages.LoadReport(
                settings.daemon(),
                keyBusySlots,
                false,
                operatorCache.lastChangeRevision(),
                fleetCache.lastChangeRevision(),
                Optional.empty());
    }

    @Override
    public CompletableFuture<Optional<KeyLeases.Reply>> onHeartbeat(BackendHeartbeat heartbeat) {
        CompletableFuture<Optional<KeyLeases.Reply>> acknowledgement = new CompletableFuture<>();
        control.execute(() -> {
            if (!isConfigured(heartbeat.service())) {
                // Another writer's heartbeat must not take the place of the backend server that is there.
                acknowledgement.completeExceptionally(
                        new IllegalArgumentException("service is not configured: " + heartbeat.service()));
                return;
            }
            try {
                CompletableFuture<Optional<KeyLeases.Reply>> reply = new CompletableFuture<>();
                handleHeartbeat(heartbeat, reply);
                completeWhenRecorded(heartbeat.process(), reply, acknowledgement);
            } catch (RuntimeException e) {
                acknowledgement.completeExceptionally(e);
                throw e;
            }
        });
        return acknowledgement;
    }

    /** Acknowledges a report only once the store has the shutdown of the process, which a restart would forget otherwise. */
    private <T> void completeWhenRecorded(
            BackendProcessId process, CompletableFuture<T> reply, CompletableFuture<T> acknowledgement) {
        reply.thenCombine(departures.recorded(process), (content, recorded) -> content)
                .whenComplete((content, failure) -> {
                    if (failure == null) {
                        acknowledgement.complete(content);
                    } else {
                        acknowledgement.completeExceptionally(failure);
                    }
                });
    }

    private void handleHeartbeat(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyLeases.Reply>> reply) {
        heartbeatResponder.sendDeferredReply();
        if (!tracker.onHeartbeat(heartbeat)) {
            reply.complete(Optional.empty());
            return;
        }
        keyLeases.onHeartbeat(heartbeat);
        registration.update(tracker.member());
        register();
        if (isKeyed(heartbeat.service())) {
            rangeAssigner.tick(heartbeat.service(), tracker.backend());
        }
        boolean mayDefer = !heartbeat.draining() && !keyLeases.hasMoves();
        if (mayDefer && (gossip.isKeyMoveAnnounced() || isStarting(heartbeat.service()))) {
            heartbeatResponder.deferReply(heartbeat, reply);
        } else {
            heartbeatResponder.replyNow(heartbeat, reply);
        }
        publishLocal();
    }

    /** Every service counts as configured until a configuration is known. */
    private boolean isConfigured(ServiceName service) {
        return service.equals(settings.service())
                || fleet.config()
                        .map(config -> config.service(service).isPresent())
                        .orElse(true);
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

    private boolean isKeyed(ServiceName service) {
        return fleet.config()
                .flatMap(config -> config.service(service))
                .filter(ServicePolicy::keyed)
                .isPresent();
    }

    @Override
    public CompletableFuture<Void> onLeaving(String backendId, OptionalLong startedMillis) {
        CompletableFuture<Void> acknowledgement = new CompletableFuture<>();
        control.execute(() -> {
            Optional<BackendProcessId> process = tracker.onLeaving(backendId, startedMillis);
            publishLocal();
            registration.update(tracker.member());
            if (process.isPresent()) {
                completeWhenRecorded(process.get(), CompletableFuture.completedFuture(null), acknowledgement);
            } else {
                acknowledgement.completeExceptionally(
                        new IllegalArgumentException("unknown backend server without a start time"));
            }
        });
        return acknowledgement;
    }

    private void onDepartureLoaded() {
        tracker.applyDeparture();
        publishLocal();
        registration.update(tracker.member());
    }

    private void tick() {
        state.removeExpired();
        follower.update(fleet.members().values(), state::isAbsent, registrationLease.confirmationAge());
        follower.report(this::localReport);
        rangeAssigner.tick(tracker.member().service(), tracker.backend());
        boolean initialized = operatorSynchronized
                && fleetSynchronized
                && fleet.config().isPresent()
                && (configConfirmation.permitsKeys() || !confirmationLoop.hasCustomers());
        ready = (ready || initialized) && !tracker.isStopping();
    }

    private void reportLoad() {
        keyLoad.decay();
        ServiceName service = tracker.member().service();
        gossip.report(member -> isKeyed(service) && member.service().equals(service));
    }

    private void onRegistrationConfirmed(ElapsedTimer sentAt) {
        ServiceName service = tracker.member().service();
        if (!isKeyed(service) || tableRecovery.mayConfirm(service)) {
            registrationLease.onConfirmed(sentAt);
            heartbeatResponder.onChange();
        }
    }

    private void publishFleet(FleetSnapshot snapshot) {
        fleet = snapshot;
        // Customers that the snapshot brings need a proof at once; the changes of its batch are applied by then.
        control.execute(confirmationLoop::tick);
        if (tracker.forgetUnless(backend -> isConfigured(backend.heartbeat().service()))) {
            publishLocal();
            registration.update(tracker.member());
        }
        heartbeatResponder.onChange();
    }

    private void publishLocal() {
        List<GrantedRange> grantedRanges = keyLeases.grantedRanges();
        localBackend = new LocalBackendSnapshot(
                tracker.backend(),
                grantedRanges,
                heartbeatResponder.keyLeaseEndNanos(),
                isKeyed(tracker.member().service())
                        && registrationLease.grantableLease().isPresent());
    }

    /** Receives changes of operator items. */
    private final class OperatorListener implements StoreCache.Listener {
        @Override
        public StoredItem withoutSecrets(StoredItem item) {
            return documents.withHashedKeys(item);
        }

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
        public void onLost(String key) {
            state.onOperatorItemLost(key);
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            operatorSynchronized = true;
        }

        @Override
        public void onAdvanced(StoreDelta delta) {
            follower.onAdvanced(operatorCache, delta);
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
            tableRecovery.onListed();
            // The entry may have ended after the write that the listing follows.
            if (registration.isRegistered() && !state.isAbsent(settings.daemon())) {
                onRegistrationConfirmed(sentAt);
            }
        }

        @Override
        public void onAdvanced(StoreDelta delta) {
            follower.onAdvanced(fleetCache, delta);
        }
    }

    /** Receives changes of this daemon's registration. */
    private final class RegistrationListener implements Registration.Listener {
        @Override
        public void onConfirmed(ElapsedTimer sentAt) {
            if (fleetSynchronized) {
                onRegistrationConfirmed(sentAt);
            }
        }

        @Override
        public void onStoreRecovered() {
            LOGGER.atInfo().log("event=dependency_regained dependency=store outcome=watch_again");
            follower.onStoreRecovered();
        }

        @Override
        public void onRegistered() {
            fleetSynchronized = false;
            fleetCache.reload();
        }
    }
}
