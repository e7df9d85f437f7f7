package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.HoldRight;
import io.daisyhoist.core.keyrange.KeyHolds;
import io.daisyhoist.core.keyrange.KeyLoad;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.keyrange.RangeOwner;
import io.daisyhoist.core.keyrange.RangePlanner;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.process.FleetState.StoredTable;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreUnavailableException;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * Keeps the assignment of one service's keys complete and balanced.
 *
 * <p>Each daemon changes its own assignments; those of a daemon that has gone are changed by the first remaining daemon of
 * the service, in a transaction that fails if the gone daemon has registered again. Invariants: at most one change of the
 * table is under way; keys leave a backend server of ours only after it has given them up or its holds have ended.
 * Confined to the control thread.
 */
final class RangeKeeper {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The first table waits until the daemons that start together have registered. */
    private static final Duration FIRST_TABLE_WAIT = Duration.ofMillis(2_500);

    private static final Duration REBALANCE_INTERVAL = Duration.ofMillis(1_000);

    /** Longer than the interval of renewals; without an answer in this time a move could not be finished. */
    private static final Duration STORE_SILENCE = Duration.ofMillis(1_500);

    /** Heartbeats that may be missing before a silent backend server's keys move. */
    private static final int MISSED_HEARTBEATS = 4;

    private final DaemonId self;
    private final FleetState state;
    private final KeyHolds holds;
    private final KeyLoad keyLoad;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Duration heartbeatInterval;
    private final PeerLoadView loads;
    private final Supplier<OptionalLong> firstRegistration;
    private final HoldRight right;
    private final long startedNanos;
    private boolean committing;
    private long rebalancedNanos;

    /** Busy slots of the holders of a service's keys, as far as known. */
    interface PeerLoadView {
        Map<DaemonId, Double> busySlots();

        /** Tells daemons that they are about to be assigned keys. */
        void announceMoves(List<RangeMove> moves);
    }

    /**
     * What the keeper runs on. Immutable.
     *
     * @param store the store
     * @param control the control thread
     * @param time clock
     * @param heartbeatInterval time between two heartbeats of a backend server
     * @param firstRegistration store revision at which this process registered for the first time
     * @param right what the store has confirmed last
     */
    record Environment(
            MetadataStore store,
            ControlExecutor control,
            TimeSource time,
            Duration heartbeatInterval,
            Supplier<OptionalLong> firstRegistration,
            HoldRight right) {}

    RangeKeeper(
            DaemonId self,
            FleetState state,
            KeyHolds holds,
            KeyLoad keyLoad,
            Environment environment,
            PeerLoadView loads) {
        this.self = self;
        this.state = state;
        this.holds = holds;
        this.keyLoad = keyLoad;
        this.store = environment.store();
        this.control = environment.control();
        this.time = environment.time();
        this.heartbeatInterval = environment.heartbeatInterval();
        this.loads = loads;
        this.firstRegistration = environment.firstRegistration();
        this.right = environment.right();
        this.startedNanos = time.monotonicNanos();
        this.rebalancedNanos = startedNanos;
    }

    /**
     * Does what is due; to be called several times a second.
     *
     * @param backend the backend server beside this daemon
     */
    void tick(ServiceName service, Optional<LocalBackend> backend) {
        FleetSnapshot fleet = state.snapshot();
        boolean keyed = fleet.config()
                .flatMap(config -> config.service(service))
                .filter(ServicePolicy::keyed)
                .isPresent();
        if (!keyed || committing) {
            return;
        }
        if (!right.isConfirmedWithin(STORE_SILENCE)) {
            abandonMoves();
        }
        List<RangeOwner> owners = owners(fleet, service);
        Optional<StoredTable> stored = state.table(service);
        if (stored.isEmpty() || stored.get().table().assignments().isEmpty()) {
            proposeFirst(service, owners, stored);
            return;
        }
        if (supersedePredecessor(stored.get())
                || commitReadyMoves(stored.get())
                || renewAfterRestart(stored.get(), backend)
                || takeOver(stored.get(), owners)) {
            return;
        }
        if (!right.isConfirmedWithin(STORE_SILENCE)) {
            return;
        }
        giveUpSilent(stored.get(), backend, owners);
        planMoves(fleet, stored.get().table(), owners, backend);
    }

    /** Keys that were withdrawn for a move would be served by nobody until the store answers again. */
    private void abandonMoves() {
        if (holds.hasMoves()) {
            holds.retainMoves(move -> false);
            LOGGER.atInfo().log("event=range_moves_abandoned reason=store_silent left=%s", holds.hasMoves());
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
                        .map(FleetMember.MemberBackend::life)
                        .ifPresent(life -> owners.add(new RangeOwner(member.daemon(), life))));
        return owners;
    }

    private boolean isProposer(List<RangeOwner> owners) {
        return !owners.isEmpty() && owners.get(0).daemon().equals(self);
    }

    private void proposeFirst(ServiceName service, List<RangeOwner> owners, Optional<StoredTable> stored) {
        boolean early = time.monotonicNanos() - startedNanos < FIRST_TABLE_WAIT.toNanos();
        if (early || !isProposer(owners)) {
            return;
        }
        commit(
                "first_table",
                RangePlanner.initial(service, owners),
                stored.map(StoredTable::revision).orElse(Transaction.ABSENT),
                Set.of());
    }

    /**
     * An earlier process of this daemon may have sent a change that the store does late. Any write of the table after this
     * process has registered makes such a change fail.
     */
    private boolean supersedePredecessor(StoredTable stored) {
        if (isOwnTime(stored)
                || stored.table().of(self).isEmpty()
                || firstRegistration.get().isEmpty()) {
            return false;
        }
        commit("supersede_predecessor", stored.table(), stored.revision(), Set.of());
        return true;
    }

    /** Returns whether no change that an earlier process of this daemon has sent can still be made to the table. */
    boolean isOwnTime(StoredTable stored) {
        OptionalLong registered = firstRegistration.get();
        return registered.isPresent() && stored.revision() > registered.getAsLong();
    }

    private boolean commitReadyMoves(StoredTable stored) {
        List<RangeMove> ready = holds.readyMoves();
        if (ready.isEmpty()) {
            return false;
        }
        RangeTable next = RangePlanner.apply(stored.table(), self, ready, holds);
        if (next.equals(stored.table())) {
            holds.settle(ready);
            return false;
        }
        commit("move", next, stored.revision(), Set.of(), ready);
        return true;
    }

    /** A new process of our backend server holds nothing, and the earlier one has ended. */
    private boolean renewAfterRestart(StoredTable stored, Optional<LocalBackend> backend) {
        if (backend.isEmpty() || backend.get().leaving()) {
            return false;
        }
        BackendLife life = backend.get().life();
        RangeTable next = stored.table()
                .replacing(row -> isOfEarlierProcess(row, life)
                        ? RangeAssignment.of(row.range(), self, life, row.fence(), row.handoverToken())
                        : row);
        if (next.equals(stored.table())) {
            return false;
        }
        commit("backend_restarted", next, stored.revision(), Set.of());
        return true;
    }

    private boolean isOfEarlierProcess(RangeAssignment row, BackendLife life) {
        return row.daemon().equals(self) && life.isAfter(row.life());
    }

    /** Withdraws the keys before they are given away, since the backend server may be heard again at any moment. */
    private void giveUpSilent(StoredTable stored, Optional<LocalBackend> backend, List<RangeOwner> owners) {
        Duration limit = heartbeatInterval.multipliedBy(MISSED_HEARTBEATS);
        boolean silent = backend.map(
                        known -> known.leaving() || known.silence(time).compareTo(limit) > 0)
                .orElse(true);
        if (silent && holds.holdsEnded() && !holds.hasMoves()) {
            RangePlanner.evacuate(stored.table(), self, others(owners)).forEach(holds::plan);
        }
    }

    private boolean takeOver(StoredTable stored, List<RangeOwner> owners) {
        if (!isProposer(owners)) {
            return false;
        }
        Set<DaemonId> gone = new HashSet<>();
        stored.table().assignments().stream()
                .map(RangeAssignment::daemon)
                .filter(state::isUnknown)
                .forEach(gone::add);
        if (gone.isEmpty() || !knowsFleetLongEnough()) {
            return false;
        }
        RangeTable next = RangePlanner.reassign(stored.table(), row -> gone.contains(row.daemon()), owners);
        commit("daemon_gone", next, stored.revision(), gone);
        return true;
    }

    /** A process that has just started does not know since when an entry has been missing. */
    private boolean knowsFleetLongEnough() {
        return time.monotonicNanos() - startedNanos > FleetControl.ABSENCE_LIMIT.toNanos();
    }

    private List<RangeOwner> others(List<RangeOwner> owners) {
        return owners.stream().filter(owner -> !owner.daemon().equals(self)).toList();
    }

    private void planMoves(
            FleetSnapshot fleet, RangeTable table, List<RangeOwner> owners, Optional<LocalBackend> backend) {
        holds.retainMoves(move -> owners.contains(new RangeOwner(move.daemon(), move.life())));
        if (holds.hasMoves() || backend.isEmpty() || table.of(self).isEmpty()) {
            return;
        }
        boolean selfAccepts = owners.stream().anyMatch(owner -> owner.daemon().equals(self));
        boolean evacuated = Optional.ofNullable(fleet.members().get(self)).stream()
                .anyMatch(member -> fleet.isEvacuated(member.availabilityZone()));
        if (!selfAccepts && (backend.get().leaving() || evacuated)) {
            List<RangeMove> moves = RangePlanner.evacuate(table, self, others(owners));
            moves.forEach(holds::plan);
            loads.announceMoves(moves);
            return;
        }
        if (selfAccepts && time.monotonicNanos() - rebalancedNanos > REBALANCE_INTERVAL.toNanos()) {
            rebalancedNanos = time.monotonicNanos();
            Map<DaemonId, Double> known = new HashMap<>(loads.busySlots());
            known.put(self, ownLoad(table));
            int slots = backend.get().heartbeat().slots();
            List<RangeMove> moves = RangePlanner.rebalance(table, self, slots, owners, known, keyLoad);
            moves.forEach(move -> {
                LOGGER.atInfo().log(
                        "event=range_move_planned service=%s range=%s to=%s loads=%s",
                        table.service(), move.range(), move.daemon(), known);
                holds.plan(move);
            });
            loads.announceMoves(moves);
        }
    }

    /** Returns the slots that the keys of this daemon keep busy. */
    double ownLoad(RangeTable table) {
        return table.of(self).stream()
                .mapToDouble(row -> keyLoad.busySlots(row.range()))
                .sum();
    }

    private void commit(String cause, RangeTable next, long expectedRevision, Set<DaemonId> mustBeAbsent) {
        commit(cause, next, expectedRevision, mustBeAbsent, List.of());
    }

    private void commit(
            String cause, RangeTable next, long expectedRevision, Set<DaemonId> mustBeAbsent, List<RangeMove> moves) {
        committing = true;
        holds.onWriting(moves);
        String key = FleetState.rangeKey(next.service());
        List<Transaction.Condition> conditions = new ArrayList<>();
        conditions.add(new Transaction.Condition(key, expectedRevision));
        mustBeAbsent.forEach(
                daemon -> conditions.add(new Transaction.Condition(FleetState.memberKey(daemon), Transaction.ABSENT)));
        Transaction change = new Transaction(
                conditions,
                List.of(new Transaction.Write(key, FleetJson.write(next), Transaction.NO_LEASE)),
                List.of());
        store.commit(change)
                .whenCompleteAsync(
                        (result, failure) -> {
                            committing = false;
                            String outcome = failure != null
                                    ? "unknown"
                                    : result instanceof TransactionResult.Committed ? "committed" : "conflict";
                            LOGGER.atInfo().log(
                                    "event=range_commit service=%s cause=%s expected_revision=%d outcome=%s",
                                    next.service(), cause, expectedRevision, outcome);
                            if (result instanceof TransactionResult.Committed committed) {
                                state.onCommittedTable(next, committed.revision());
                                return;
                            }
                            if (StoreUnavailableException.hasDoneNothing(failure)) {
                                holds.onNotWritten(moves);
                            }
                            refresh(next.service());
                        },
                        control);
    }

    /** Reads the table after a conflict or a lost answer; a change that is done late is followed by the feed. */
    private void refresh(ServiceName service) {
        committing = true;
        store.get(FleetState.rangeKey(service))
                .whenCompleteAsync(
                        (item, failure) -> {
                            committing = false;
                            if (failure == null) {
                                item.ifPresent(state::onFleetItem);
                            }
                        },
                        control);
    }
}
