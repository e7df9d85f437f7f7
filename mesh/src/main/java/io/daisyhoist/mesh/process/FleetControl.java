package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.GrantedRange;
import io.daisyhoist.core.keyrange.HoldRight;
import io.daisyhoist.core.keyrange.KeyHolds;
import io.daisyhoist.core.keyrange.KeyLoad;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalView;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;

/**
 * Control state of one daemon: the fleet as the store shows it, its own registration, its backend server and the keys
 * that this one holds.
 *
 * <p>All state is confined to the control thread, which publishes immutable views for the request path. Public methods
 * may be called from any thread.
 */
public final class FleetControl implements BackendReportHandler, ForwardReceiver.PeerNews {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Keys stay served this long after the last call that the store answered; covers most of its outages. */
    static final Duration HOLD_HORIZON = Duration.ofMillis(9_000);

    /** Time after which a missing daemon's keys may be given to others: the horizon, drift and a margin for pauses. */
    static final Duration ABSENCE_LIMIT = Duration.ofMillis(9_900);

    /** Holds end soon after a backend server has fallen silent, so that its keys can move. */
    private static final Duration HOLD = Duration.ofMillis(5_000);

    private static final Duration TICK = Duration.ofMillis(200);
    private static final Duration LOAD_REPORT_INTERVAL = Duration.ofMillis(500);

    private final FleetSettings settings;
    private final long incarnation;
    private final TimeSource time;
    private final ControlExecutor control;
    private final FleetState state;
    private final StoreFeed operatorFeed;
    private final StoreFeed fleetFeed;
    private final Registration registration;
    private final HoldRight right;
    private final KeyHolds holds;
    private final KeyLoad keyLoad;
    private final RangeKeeper ranges;
    private final FleetGossip gossip;
    private final HoldReplies replies;
    private Optional<LocalBackend> backend = Optional.empty();
    private boolean operatorSynchronized;
    private boolean fleetSynchronized;
    private boolean stopping;
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private volatile LocalView local = LocalView.EMPTY;
    private volatile boolean ready;

    /** Sends messages to other daemons, without waiting for a reply. */
    public interface PeerSender {
        /** Sends a message to each of the given daemons. */
        void send(List<FleetMember> receivers, Envelope message);
    }

    /** Creates control state that knows nothing; {@link #start} begins to read the store. */
    public FleetControl(
            FleetSettings settings,
            long incarnation,
            TimeSource time,
            ControlExecutor control,
            MetadataStore store,
            OperatorDocuments documents,
            PeerSender peerSender) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.time = time;
        this.control = control;
        this.state = new FleetState(time, documents, ABSENCE_LIMIT, this::publishFleet);
        this.operatorFeed = new StoreFeed(documents.prefix(), store, control, time, new OperatorListener());
        this.fleetFeed = new StoreFeed("daisyhoist/", store, control, time, new FleetListener());
        this.gossip = new FleetGossip(
                settings.daemon(), time, incarnation, operatorFeed, this::fleet, this::ownKeyLoad, peerSender);
        this.registration = new Registration(
                FleetState.memberKey(settings.daemon()),
                member(),
                store,
                control,
                time,
                settings.bounds().minLeaseTtl(),
                new RegistrationListener());
        Duration hold = HOLD.compareTo(settings.bounds().maxHold()) < 0
                ? HOLD
                : settings.bounds().maxHold();
        this.right = new HoldRight(time, HOLD_HORIZON, hold);
        this.holds =
                new KeyHolds(time, settings.daemon(), right, settings.bounds().maxHold());
        this.keyLoad = new KeyLoad(time);
        this.ranges = new RangeKeeper(
                settings.daemon(),
                state,
                holds,
                keyLoad,
                new RangeKeeper.Environment(
                        store,
                        control,
                        time,
                        settings.bounds().heartbeatInterval(),
                        registration::firstRevision,
                        right),
                gossip);
        this.replies = new HoldReplies(
                time,
                control,
                holds,
                right,
                service -> state.table(service).filter(table -> isKeyed(service)),
                ranges,
                this::publishLocal);
    }

    /** Begins to read the store and to register this daemon. */
    public void start() {
        control.execute(() -> {
            operatorFeed.reload();
            fleetFeed.reload();
            registration.start();
        });
        control.scheduleRepeating(this::tick, TICK);
        control.scheduleRepeating(this::reportLoad, LOAD_REPORT_INTERVAL);
    }

    /** Returns the fleet as last heard of. */
    public FleetSnapshot fleet() {
        return fleet;
    }

    /** Returns the backend server beside this daemon as last heard of. */
    public LocalView local() {
        return local;
    }

    /** Returns whether requests can be served: configuration and members are known and this daemon is registered. */
    public boolean isReady() {
        return ready;
    }

    /** Tells the other daemons to send nothing more to this one's backend server. */
    public void stopAccepting() {
        control.execute(() -> {
            stopping = true;
            ready = false;
            registration.update(member());
        });
    }

    /** Counts a request for a key of this daemon's backend server. */
    public void onKeyWork(int key, Duration work) {
        control.execute(() -> keyLoad.onRequest(key, work));
    }

    @Override
    public void onLoad(FleetLoad load) {
        control.execute(() -> gossip.onLoad(load));
    }

    @Override
    public void onOperatorItems(OperatorItems items) {
        control.execute(() -> gossip.onOperatorItems(items));
    }

    private double ownKeyLoad() {
        return state.table(member().service())
                .map(table -> ranges.ownLoad(table.table()))
                .orElse(0.0);
    }

    @Override
    public CompletableFuture<Optional<KeyHolds.Reply>> onHeartbeat(BackendHeartbeat heartbeat) {
        CompletableFuture<Optional<KeyHolds.Reply>> reply = new CompletableFuture<>();
        control.execute(() -> {
            try {
                takeHeartbeat(heartbeat, reply);
            } catch (RuntimeException e) {
                reply.completeExceptionally(e);
                throw e;
            }
        });
        return reply;
    }

    private void takeHeartbeat(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyHolds.Reply>> reply) {
        replies.endWait();
        LocalBackend.Change change = LocalBackend.classify(backend, heartbeat);
        if (change == LocalBackend.Change.STALE) {
            LOGGER.atInfo().log(
                    "event=heartbeat_stale backend=%s sequence=%d known=%s",
                    heartbeat.life(),
                    heartbeat.sequence(),
                    backend.map(LocalBackend::life).orElseThrow());
            reply.complete(Optional.empty());
            return;
        }
        LocalBackend before = backend.orElse(null);
        backend = Optional.of(LocalBackend.after(backend, heartbeat, time));
        logChange(before, change);
        holds.onHeartbeat(heartbeat);
        registration.update(member());
        if (isKeyed(heartbeat.service())) {
            ranges.tick(heartbeat.service(), backend);
        }
        boolean mayWait = !heartbeat.draining() && !holds.hasMoves();
        if (mayWait && (gossip.keysWereAnnounced() || isStarting(heartbeat.service()))) {
            replies.replyLater(heartbeat, reply);
        } else {
            replies.replyNow(heartbeat, reply);
        }
        publishLocal();
    }

    /** Returns whether this process does not know yet what its backend server is to hold. */
    private boolean isStarting(ServiceName service) {
        if (fleet.config().isEmpty() || !fleetSynchronized) {
            return true;
        }
        return isKeyed(service)
                && state.table(service)
                        .filter(table -> !ranges.isOwnTime(table))
                        .isPresent();
    }

    private void logChange(LocalBackend before, LocalBackend.Change change) {
        LocalBackend now = backend.orElseThrow();
        boolean changed = change == LocalBackend.Change.NEW_PROCESS
                || before.leaving() != now.leaving()
                || before.isCold(time) != now.isCold(time);
        if (changed) {
            LOGGER.atInfo().log(
                    "event=backend_changed change=%s backend=%s sequence=%d service=%s slots=%d leaving=%s cold_ms=%d",
                    change,
                    now.life(),
                    now.heartbeat().sequence(),
                    now.heartbeat().service(),
                    now.heartbeat().slots(),
                    now.leaving(),
                    now.heartbeat().coldRemaining().toMillis());
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
            backend = backend.map(known -> known.life().isNamed(backendId, startedMillis) ? known.left() : known);
            LOGGER.atInfo().log(
                    "event=backend_leaving backend=%s known=%s",
                    backendId,
                    backend.map(LocalBackend::life).map(Object::toString).orElse("none"));
            publishLocal();
            registration.update(member());
            done.complete(null);
        });
        return done;
    }

    private FleetMember member() {
        Optional<FleetMember.MemberBackend> announced = backend.map(known -> new FleetMember.MemberBackend(
                known.life().id(),
                known.life().startedMillis(),
                known.heartbeat().slots(),
                !known.leaving() && !stopping));
        return new FleetMember(
                settings.daemon(),
                incarnation,
                settings.zone(),
                settings.peers().host(),
                settings.peers().port(),
                backend.map(known -> known.heartbeat().service()).orElse(settings.service()),
                announced);
    }

    private void tick() {
        state.dropAbsent();
        ranges.tick(member().service(), backend);
        boolean known =
                operatorSynchronized && fleetSynchronized && fleet.config().isPresent();
        ready = (ready || known) && !stopping;
    }

    private void reportLoad() {
        keyLoad.decay();
        ServiceName service = member().service();
        gossip.report(member -> isKeyed(service) && member.service().equals(service));
    }

    private void publishFleet(FleetSnapshot snapshot) {
        fleet = snapshot;
        replies.onChange();
    }

    private void publishLocal() {
        List<GrantedRange> granted = holds.granted();
        local = new LocalView(
                backend,
                granted,
                replies.holdsEndNanos(),
                isKeyed(member().service()) && right.hold().isPresent());
    }

    /** Hears of what operators write. */
    private final class OperatorListener implements StoreFeed.Listener {
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

    /** Hears of what daemons write. */
    private final class FleetListener implements StoreFeed.Listener {
        @Override
        public void onItem(StoredItem item) {
            state.onFleetItem(item);
        }

        @Override
        public void onDeleted(String key) {
            state.onFleetDeleted(key);
            if (key.equals(FleetState.memberKey(settings.daemon()))) {
                registration.onSeen(Optional.empty());
            }
        }

        @Override
        public void onSynchronized(ElapsedTimer sentAt) {
            fleetSynchronized = true;
            if (registration.isRegistered()) {
                right.onConfirmed(sentAt);
                replies.onChange();
            }
        }
    }

    /** Hears of this daemon's own entry. */
    private final class RegistrationListener implements Registration.Listener {
        @Override
        public void onConfirmed(ElapsedTimer sentAt) {
            if (fleetSynchronized) {
                right.onConfirmed(sentAt);
                replies.onChange();
            }
        }

        @Override
        public void onStoreRegained() {
            LOGGER.atInfo().log("event=dependency_regained dependency=store outcome=read_again");
            operatorFeed.reload();
            fleetFeed.reload();
        }

        @Override
        public void onRegistered() {
            fleetSynchronized = false;
            fleetFeed.reload();
        }
    }
}
