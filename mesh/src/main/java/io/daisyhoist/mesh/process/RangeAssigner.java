package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.KeyLoad;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.keyrange.RangeOwner;
import io.daisyhoist.core.keyrange.RangePlanner;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.keyrange.RegistrationLease;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.process.FleetState.StoredTable;
import io.daisyhoist.mesh.process.TableRecovery.Restoration;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * Keeps the key assignments of one service complete and balanced.
 *
 * <p>Each daemon changes its own assignments; those of an expired daemon are changed by the coordinator, which is the first
 * remaining daemon of the service, in a transaction that fails if the expired daemon has registered since. Invariant: keys move away from the local backend server only after it has released them
 * or its key leases have expired. Confined to the control thread.
 */
final class RangeAssigner {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Delay of the initial table, so that daemons that start together have registered. */
    private static final Duration INITIAL_TABLE_DELAY = Duration.ofMillis(2_500);

    private static final Duration REBALANCE_INTERVAL = Duration.ofMillis(1_000);

    /** Longer than the renewal interval; a move could not be completed if the store does not respond for this long. */
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(1_500);

    /** Missed heartbeats after which the keys of an unresponsive backend server move. */
    private static final int MAX_MISSED_HEARTBEATS = 4;

    /** Two conditions and a deletion each; the store accepts 32 entries in a transaction. */
    private static final int MAX_DAEMONS_PER_TAKEOVER = 9;

    private final DaemonId self;
    private final FleetState state;
    private final KeyLeases keyLeases;
    private final KeyLoad keyLoad;
    private final KeyMovePlanner movePlanner;
    private final TimeSource time;
    private final Duration heartbeatInterval;
    private final PeerLoadExchange peerLoadExchange;
    private final Supplier<OptionalLong> firstRegistrationRevision;
    private final RegistrationLease registrationLease;
    private final AbsenceClock absences;
    private final TableRecovery recovery;
    private final RangeTableWriter writer;
    private final long startedNanos;
    private long lastRebalanceNanos;

    /** Exchange of load and upcoming moves with the other daemons that hold keys of the service. */
    interface PeerLoadExchange {
        /** Returns the recently reported number of busy slots of each daemon. */
        Map<DaemonId, Double> busySlots();

        /** Announces upcoming moves to the daemons that receive the keys. */
        void announceMoves(List<RangeMove> moves);
    }

    /**
     * Dependencies. Immutable.
     *
     * @param store metadata store
     * @param control control thread
     * @param time clock
     * @param heartbeatInterval heartbeat interval of backend servers
     * @param firstRegistrationRevision store revision of the first registration of this process
     * @param registrationLease lease conferred by the registration, with the time of its last confirmation
     * @param recovery restores the table in a new era of the store
     */
    record Dependencies(
            MetadataStore store,
            ControlExecutor control,
            TimeSource time,
            Duration heartbeatInterval,
            Supplier<OptionalLong> firstRegistrationRevision,
            RegistrationLease registrationLease,
            TableRecovery recovery) {}

    RangeAssigner(
            DaemonId self,
            FleetState state,
            KeyLeases keyLeases,
            KeyLoad keyLoad,
            Dependencies dependencies,
            PeerLoadExchange peerLoadExchange) {
        this.self = self;
        this.state = state;
        this.keyLeases = keyLeases;
        this.keyLoad = keyLoad;
        this.time = dependencies.time();
        this.heartbeatInterval = dependencies.heartbeatInterval();
        this.peerLoadExchange = peerLoadExchange;
        this.firstRegistrationRevision = dependencies.firstRegistrationRevision();
        this.registrationLease = dependencies.registrationLease();
        this.movePlanner = new KeyMovePlanner(self, time, keyLoad);
        this.recovery = dependencies.recovery();
        this.writer =
                new RangeTableWriter(state, keyLeases, dependencies.store(), dependencies.control(), this.recovery);
        this.absences = new AbsenceClock(time);
        this.startedNanos = time.monotonicNanos();
        this.lastRebalanceNanos = startedNanos;
    }

    /**
     * Performs due changes; to be called several times per second.
     *
     * @param backend local backend server
     */
    void tick(ServiceName service, Optional<LocalBackend> backend) {
        FleetSnapshot fleet = state.snapshot();
        boolean keyed = fleet.config()
                .flatMap(config -> config.service(service))
                .filter(ServicePolicy::keyed)
                .isPresent();
        if (!keyed || writer.isWriting()) {
            return;
        }
        if (!registrationLease.isConfirmedWithin(MAX_CONFIRMATION_AGE)) {
            cancelMoves();
        }
        List<RangeOwner> owners = owners(fleet, service);
        Optional<StoredTable> stored = state.table(service);
        if (!recovery.isSettled(service)) {
            recover(service, owners);
            return;
        }
        if (stored.isEmpty() || stored.get().table().assignments().isEmpty()) {
            commitInitialTable(service, owners, stored);
            return;
        }
        absences.update(absentHolders(stored.get().table()), state::creationRevision);
        if (fencePredecessor(stored.get())
                || renewTokens(stored.get())
                || commitReadyMoves(stored.get())
                || reassignToNewProcess(stored.get(), backend)
                || reassignExpired(stored.get(), owners)) {
            return;
        }
        if (!registrationLease.isConfirmedWithin(MAX_CONFIRMATION_AGE)) {
            return;
        }
        evacuateUnresponsiveBackend(stored.get(), backend, owners);
        planMoves(fleet, stored.get().table(), owners, backend);
    }

    /** Restores the table in a new era. Keys neither move nor are they taken over meanwhile. */
    private void recover(ServiceName service, List<RangeOwner> owners) {
        if (!recovery.isListed()) {
            return;
        }
        Optional<RangeTable> table = recovery.unsettledTable(service);
        table.ifPresent(known -> absences.update(absentHolders(known), state::creationRevision));
        Optional<Restoration> due = table.isPresent()
                ? recovery.restoration(service, isCoordinator(owners))
                : Optional.of(RangePlanner.initial(service, owners, slots(owners)))
                        .filter(initial -> isCoordinator(owners) && !isTooEarlyForInitialTable())
                        .flatMap(initial -> recovery.firstTable(initial, INITIAL_TABLE_DELAY));
        due.ifPresent(writer::restore);
    }

    /** Issues new tokens for keys that may have been held under higher ones in an earlier era. */
    private boolean renewTokens(StoredTable stored) {
        RangeTable next =
                RangePlanner.renewFences(stored.table(), assignment -> recovery.isOutdated(stored.table(), assignment));
        if (next.equals(stored.table())) {
            return false;
        }
        writer.write("era_tokens", next, stored.revision());
        return true;
    }

    /** Cancels planned moves, because keys that are being moved would have no holder until the store responds again. */
    private void cancelMoves() {
        if (keyLeases.hasMoves()) {
            keyLeases.retainMoves(move -> false);
            LOGGER.atInfo().log("event=range_moves_abandoned reason=store_silent left=%s", keyLeases.hasMoves());
        }
    }

    private List<RangeOwner> owners(FleetSnapshot fleet, ServiceName service) {
        List<RangeOwner> owners = new ArrayList<>();
        fleet.members().values().stream()
                .filter(member -> member.service().equals(service))
                .filter(member -> !fleet.isEvacuated(member.availabilityZone()))
                .filter(member -> !state.isAbsent(member.daemon()))
                .sorted((one, other) -> one.daemon().compareTo(other.daemon()))
                .forEach(member -> member.acceptingBackend()
                        .map(FleetMember.MemberBackend::process)
                        .ifPresent(process -> owners.add(new RangeOwner(member.daemon(), process))));
        return owners;
    }

    private Map<DaemonId, Integer> slots(List<RangeOwner> owners) {
        Map<DaemonId, FleetMember> members = state.snapshot().members();
        Map<DaemonId, Integer> slots = new HashMap<>();
        owners.forEach(owner -> members.get(owner.daemon())
                .acceptingBackend()
                .ifPresent(backend -> slots.put(owner.daemon(), backend.slots())));
        return slots;
    }

    private boolean isCoordinator(List<RangeOwner> owners) {
        return !owners.isEmpty() && owners.get(0).daemon().equals(self);
    }

    private void commitInitialTable(ServiceName service, List<RangeOwner> owners, Optional<StoredTable> stored) {
        if (isTooEarlyForInitialTable() || !isCoordinator(owners)) {
            return;
        }
        writer.write(
                "first_table",
                RangePlanner.initial(service, owners, slots(owners)),
                stored.map(StoredTable::revision).orElse(Transaction.ABSENT));
    }

    private boolean isTooEarlyForInitialTable() {
        return time.monotonicNanos() - startedNanos < INITIAL_TABLE_DELAY.toNanos();
    }

    /**
     * Rewrites the table unchanged so that a delayed write of an earlier process of this daemon fails. Any write of the table
     * after the registration of this process makes the revision condition of such a write fail.
     */
    private boolean fencePredecessor(StoredTable stored) {
        if (isPredecessorFenced(stored)
                || stored.table().assignmentsOf(self).isEmpty()
                || firstRegistrationRevision.get().isEmpty()) {
            return false;
        }
        writer.write("supersede_predecessor", stored.table(), stored.revision());
        return true;
    }

    /** Returns whether delayed writes of an earlier process of this daemon can no longer change the table. */
    boolean isPredecessorFenced(StoredTable stored) {
        OptionalLong registered = firstRegistrationRevision.get();
        return registered.isPresent() && stored.revision() > registered.getAsLong();
    }

    private boolean commitReadyMoves(StoredTable stored) {
        List<RangeMove> ready = keyLeases.readyMoves();
        if (ready.isEmpty()) {
            return false;
        }
        RangeTable next = RangePlanner.apply(stored.table(), self, ready, keyLeases);
        if (next.equals(stored.table())) {
            keyLeases.resolveMoves(ready);
            return false;
        }
        writer.write("move", next, stored.revision(), Map.of(), ready);
        return true;
    }

    /** Assigns the keys to the new process of the local backend server; it holds no keys, and the earlier one has ended. */
    private boolean reassignToNewProcess(StoredTable stored, Optional<LocalBackend> backend) {
        if (backend.isEmpty() || backend.get().leaving()) {
            return false;
        }
        BackendProcessId process = backend.get().process();
        RangeTable next = stored.table()
                .mapAssignments(assignment -> isOfEarlierProcess(assignment, process)
                        ? RangeAssignment.of(
                                assignment.range(), self, process, assignment.fence(), assignment.handoverToken())
                        : assignment);
        if (next.equals(stored.table())) {
            return false;
        }
        writer.write("backend_restarted", next, stored.revision());
        return true;
    }

    private boolean isOfEarlierProcess(RangeAssignment assignment, BackendProcessId process) {
        return assignment.daemon().equals(self) && process.startedAfter(assignment.process());
    }

    /** Stops granting the keys before they are reassigned, because the backend server may send a heartbeat at any time. */
    private void evacuateUnresponsiveBackend(
            StoredTable stored, Optional<LocalBackend> backend, List<RangeOwner> owners) {
        Duration limit = heartbeatInterval.multipliedBy(MAX_MISSED_HEARTBEATS);
        boolean unresponsive = backend.map(known ->
                        known.leaving() || known.timeSinceHeartbeat(time).compareTo(limit) > 0)
                .orElse(true);
        if (unresponsive && keyLeases.allLeasesExpired() && !keyLeases.hasMoves()) {
            RangePlanner.evacuate(stored.table(), self, others(owners)).forEach(keyLeases::startMove);
        }
    }

    private Set<DaemonId> absentHolders(RangeTable table) {
        return table.assignments().stream()
                .map(RangeAssignment::daemon)
                .filter(state::isAbsent)
                .collect(Collectors.toSet());
    }

    /**
     * Reassigns the keys of daemons whose registration leases have expired. The transaction fails if one of them has created
     * its entry since its absence was first seen.
     */
    private boolean reassignExpired(StoredTable stored, List<RangeOwner> owners) {
        if (!isCoordinator(owners)) {
            return false;
        }
        Map<DaemonId, Long> expired = absences.absentLongerThan(FleetControl.MEMBER_EXPIRY).entrySet().stream()
                .limit(MAX_DAEMONS_PER_TAKEOVER)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
        if (expired.isEmpty()) {
            return false;
        }
        RangeTable next =
                RangePlanner.reassign(stored.table(), assignment -> expired.containsKey(assignment.daemon()), owners);
        writer.write("daemon_gone", next, stored.revision(), expired, List.of());
        return true;
    }

    private List<RangeOwner> others(List<RangeOwner> owners) {
        return owners.stream().filter(owner -> !owner.daemon().equals(self)).toList();
    }

    private void planMoves(
            FleetSnapshot fleet, RangeTable table, List<RangeOwner> owners, Optional<LocalBackend> backend) {
        keyLeases.retainMoves(move -> owners.contains(new RangeOwner(move.daemon(), move.process())));
        if (keyLeases.hasMoves()
                || backend.isEmpty()
                || table.assignmentsOf(self).isEmpty()) {
            return;
        }
        boolean selfAccepts = owners.stream().anyMatch(owner -> owner.daemon().equals(self));
        boolean evacuated = Optional.ofNullable(fleet.members().get(self)).stream()
                .anyMatch(member -> fleet.isEvacuated(member.availabilityZone()));
        if (!selfAccepts && (backend.get().leaving() || evacuated)) {
            List<RangeMove> moves = RangePlanner.evacuate(table, self, others(owners));
            moves.forEach(keyLeases::startMove);
            peerLoadExchange.announceMoves(moves);
            return;
        }
        if (selfAccepts && time.monotonicNanos() - lastRebalanceNanos > REBALANCE_INTERVAL.toNanos()) {
            lastRebalanceNanos = time.monotonicNanos();
            Map<DaemonId, Double> busySlotsByDaemon = new HashMap<>(peerLoadExchange.busySlots());
            busySlotsByDaemon.put(self, localLoad(table));
            List<RangeMove> moves = movePlanner.plan(table, owners, slots(owners), busySlotsByDaemon);
            moves.forEach(keyLeases::startMove);
            peerLoadExchange.announceMoves(moves);
        }
    }

    /** Returns the number of slots that requests for keys of this daemon keep busy. */
    double localLoad(RangeTable table) {
        return table.assignmentsOf(self).stream()
                .mapToDouble(assignment -> keyLoad.busySlots(assignment.range()))
                .sum();
    }
}
