package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.HeartbeatOutcome;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.lease.WitnessLedger;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Membership and ownership decisions of one daemon, as a state machine without I/O.
 *
 * <p>Invariants: the known record version never goes back; at most one own swap is undecided at a time; a partition that
 * an undecided swap gives away is not served; a grant is served only under the present session and a valid lease. Not
 * thread-safe: one control thread calls it and publishes {@link #snapshot()} to traffic threads after each call. Every
 * method returns at once; what follows from it is in the result of the next {@link #onTick()}.
 */
public final class GroupController {
    private static final Duration FETCH_INTERVAL = Duration.ofMillis(150);

    private final ControlContext context;
    private final GroupView view;
    private final PlatformReads reads;
    private final SwapLine swaps;
    private final WitnessLedger ledger;
    private final OwnSession own;
    private final Fencing fencing;
    private final HandOvers handOvers;
    private final WitnessMaintenance witnesses;
    private final MembershipProposer membership;
    private final AssignmentProposer assignment;
    private final long startNanos;
    private long nextFetchNanos;
    private GroupSnapshot snapshot = GroupSnapshot.EMPTY;

    /** Creates the controller of one process. */
    public GroupController(
            MemberProfile profile,
            LeaseSettings settings,
            Placement placement,
            TimeSource time,
            RandomGenerator random) {
        context = new ControlContext(profile, settings, placement, time, random);
        view = new GroupView(context);
        reads = new PlatformReads(context);
        swaps = new SwapLine(context, view, reads);
        ledger = new WitnessLedger(settings.ttl(), time);
        own = new OwnSession(context, view, ledger);
        fencing = new Fencing(context, view, ledger);
        handOvers = new HandOvers(context, view);
        witnesses = new WitnessMaintenance(context, view, reads, own);
        membership = new MembershipProposer(context, view, own, fencing, witnesses);
        assignment = new AssignmentProposer(context, view);
        startNanos = time.monotonicNanos();
        nextFetchNanos = startNanos;
    }

    /**
     * Advances timers and returns what to do now, in order. Called every 50 ms; calling it right after other methods as
     * well shortens failover and moves by up to 50 ms a step. The caller publishes {@link #snapshot()} before it carries
     * out the actions, so that nothing is served any more that an action gives away.
     */
    public List<GroupAction> onTick() {
        reads.onTick(assignment.isProposer(own.current()));
        swaps.onTick();
        own.onTick();
        giveUpFencedSession();
        fencing.onTick();
        membership.onTick();
        handOvers.onTick();
        startMoves();
        if (view.isKnown() && swaps.isFree()) {
            propose().ifPresent(swaps::propose);
        }
        return context.takeActions();
    }

    /** Returns what traffic threads may know; the same object until something changes. */
    public GroupSnapshot snapshot() {
        if (isSnapshotCurrent()) {
            return snapshot;
        }
        Map<PartitionId, Grant> served = new HashMap<>();
        own.current()
                .map(session -> view.record().grantsOf(session))
                .orElse(List.of())
                .forEach(grant -> served.put(grant.partition(), grant));
        served.keySet().removeAll(handOvers.partitions());
        snapshot = new GroupSnapshot(
                view.record(), view.revision(), own.current(), served, handOvers.partitions(), own.snapshot());
        return snapshot;
    }

    private boolean isSnapshotCurrent() {
        return snapshot.record() == view.record()
                && snapshot.lease() == own.snapshot()
                && snapshot.session().equals(own.current())
                && snapshot.handingOver().equals(handOvers.partitions());
    }

    /**
     * Takes over a record read from the platform.
     *
     * @param record the record, {@link GroupRecord#EMPTY} when the key is absent
     * @param revision its platform revision, 0 when the key is absent
     */
    public void onRecord(GroupRecord record, long revision) {
        reads.onReadFinished();
        if (accept(record, revision)) {
            // The writer may have stopped before it published; the others learn the outcome from here.
            context.emit(new GroupAction.Publish(record, revision));
        }
    }

    /** Takes over a committed record from a peer; earlier versions are ignored. */
    public void onPeerRecord(GroupRecord record, long revision) {
        accept(record, revision);
    }

    /** Notes the record version that a peer's heartbeat or acknowledgement carried. */
    public void onPeerVersion(ProcessId peer, long version) {
        if (version <= view.record().version() || !context.isDue(nextFetchNanos)) {
            return;
        }
        nextFetchNanos = context.nanosAfter(FETCH_INTERVAL);
        view.endpoint(peer)
                .ifPresentOrElse(address -> context.emit(new GroupAction.FetchRecord(peer, address)), reads::request);
    }

    /** Notes that a read from the platform failed or timed out. */
    public void onReadFailed() {
        reads.onFailure();
    }

    /** Answers a heartbeat of another member. */
    public HeartbeatOutcome onHeartbeat(SessionId session) {
        return ledger.heartbeat(session);
    }

    /**
     * Takes a response to an own heartbeat.
     *
     * @param session session in the heartbeat
     * @param witness process that answered
     * @param sentAt time of sending from the action
     * @param outcome the response
     */
    public void onHeartbeatAck(SessionId session, ProcessId witness, ElapsedTimer sentAt, HeartbeatOutcome outcome) {
        own.onAck(session, witness, sentAt, outcome);
    }

    /**
     * Answers a request to fence a session.
     *
     * @param addressee witness that is asked; an earlier process of this daemon has ended, because only one process can
     *     have the daemon's address
     */
    public FenceOutcome onFenceRequest(ProcessId addressee, SessionId session) {
        ProcessId self = context.profile().process();
        if (addressee.daemon().equals(self.daemon()) && !addressee.equals(self)) {
            return FenceOutcome.superseded(Duration.ofNanos(context.time().monotonicNanos() - startNanos));
        }
        return ledger.fence(session);
    }

    /**
     * Takes a response to an own fence request.
     *
     * @param session session in the request
     * @param witness process that answered, or the process that was asked when it is superseded
     * @param outcome the response
     */
    public void onFenceReply(SessionId session, ProcessId witness, FenceOutcome outcome) {
        fencing.onReply(session, witness, outcome);
    }

    /**
     * Takes the result of a swap.
     *
     * @param swapId number from the action
     * @param result outcome
     * @param newRevision platform revision of the written record when the result is APPLIED, otherwise ignored
     */
    public void onSwapResult(long swapId, SwapResult result, long newRevision) {
        swaps.onResult(swapId, result).ifPresent(committed -> {
            accept(committed, newRevision);
            context.emit(new GroupAction.Publish(committed, newRevision));
        });
    }

    /** Takes over a configuration. */
    public void onConfig(EffectiveConfig config) {
        context.setConfig(config);
    }

    /** Notes whether the backend server announces itself; only then does the daemon join or receive partitions. */
    public void onBackendAvailable(boolean available) {
        membership.setBackendAvailable(available);
    }

    /** Sets the load by partition, in any unit, that rebalancing uses; without it each partition counts as 1. */
    public void onPartitionLoads(Map<PartitionId, Double> loads) {
        assignment.setLoads(loads);
    }

    /** Marks the own member leaving and hands over its partitions. */
    public void startLeaving() {
        membership.startLeaving();
    }

    /** Removes the own member once its partitions are handed over; called when its in-flight requests have ended. */
    public void finishLeaving() {
        membership.finishLeaving();
    }

    /** Returns whether the own member has been removed after {@link #finishLeaving}. */
    public boolean hasLeft() {
        return membership.hasLeft();
    }

    /**
     * Starts moving an own partition. Ignored when it is not owned, the target cannot own it, the platform has not
     * responded for 1 s, or the member has reached its limit of moves.
     */
    public void requestMove(PartitionId partition, SessionId to) {
        Optional<Member> target = view.record()
                .member(to)
                .filter(member -> OwnerRules.mayReceive(member, partition.service(), context.config()));
        Optional<Grant> grant = ownGrant(partition);
        if (target.isEmpty() || grant.isEmpty() || grant.get().owner().equals(to) || !mayStartMoves()) {
            return;
        }
        if (assignment.budget(grant.get().owner()) > handOvers.partitions().size()) {
            handOvers.start(grant.get(), target.get());
        }
    }

    /** Notes that nothing runs for a partition any more and that its attempt records have been sent. */
    public void onHandedOver(PartitionId partition) {
        handOvers.onHandedOver(partition);
    }

    /**
     * Notes that a hand-over failed.
     *
     * @param partition the partition
     * @param recordsSent whether the next owner may have received attempt records; the partition is then served again
     *     only under a new epoch, so that the records it received stay complete for the old epoch
     */
    public void onHandOverFailed(PartitionId partition, boolean recordsSent) {
        handOvers.onFailed(partition, recordsSent);
    }

    /** Returns whether an own change was waiting for this record and lost against it. */
    private boolean accept(GroupRecord record, long revision) {
        GroupRecord before = view.record();
        if (!view.accept(record, revision)) {
            return false;
        }
        Set<SessionId> listed = new HashSet<>();
        record.members().forEach(member -> listed.add(member.session()));
        ledger.setListed(listed);
        boolean lost = swaps.onRecord();
        if (own.onRecord(swaps.isSettled())) {
            handOvers.clear();
        }
        handOvers.onRecord();
        fencing.onRecord();
        assignment.onRecord(before);
        return lost;
    }

    /** A session that a witness has fenced gets its lease back only by chance; a new session gets one at once. */
    private void giveUpFencedSession() {
        if (own.current().isPresent() && !own.hasValidLease() && !own.fencedBy().isEmpty() && reads.isResponsive()) {
            own.giveUp();
            handOvers.clear();
        }
    }

    private void startMoves() {
        if (own.current().isEmpty() || !own.hasValidLease()) {
            return;
        }
        if (membership.isWithdrawing()) {
            withdraw(own.current().get());
        } else if (assignment.isProposer(own.current())) {
            assignment.planMoves().forEach(this::startOrRequest);
        }
    }

    private void withdraw(SessionId session) {
        List<PartitionId> remaining = view.record().grantsOf(session).stream()
                .map(Grant::partition)
                .filter(partition -> !handOvers.contains(partition))
                .toList();
        if (remaining.isEmpty() || !mayStartMoves()) {
            return;
        }
        context.placement()
                .place(view.record(), context.config(), remaining, Set.of(session))
                .forEach((partition, to) -> ownGrant(partition)
                        .ifPresent(
                                grant -> view.record().member(to).ifPresent(member -> handOvers.start(grant, member))));
    }

    private void startOrRequest(PartitionMove move) {
        if (Optional.of(move.from()).equals(own.current())) {
            requestMove(move.partition(), move.to());
            return;
        }
        view.endpoint(move.from().process())
                .ifPresent(peer -> context.emit(
                        new GroupAction.RequestMove(move.from().process(), peer, move.partition(), move.to())));
    }

    private boolean mayStartMoves() {
        return own.hasValidLease() && swaps.isSettled() && reads.isResponsive();
    }

    private Optional<Grant> ownGrant(PartitionId partition) {
        return view.record()
                .grant(partition)
                .filter(grant -> Optional.of(grant.owner()).equals(own.current()))
                .filter(grant -> !handOvers.contains(partition));
    }

    /** Returns the most urgent change of the record. */
    private Optional<GroupRecord> propose() {
        return membership
                .propose()
                .or(this::proposeFailover)
                .or(() -> own.current().flatMap(handOvers::propose))
                .or(witnesses::propose)
                .or(this::proposeAssignment);
    }

    private Optional<GroupRecord> proposeFailover() {
        return fencing.findDead()
                .filter(dead -> !Optional.of(dead.session()).equals(own.current()))
                .map(dead -> GroupTransitions.failover(view.record(), dead.session(), ownersAfter(dead)));
    }

    private Map<PartitionId, SessionId> ownersAfter(Member dead) {
        List<PartitionId> partitions = view.record().grantsOf(dead.session()).stream()
                .map(Grant::partition)
                .toList();
        Set<SessionId> excluded = new HashSet<>(Set.of(dead.session()));
        view.record().members().stream()
                .filter(fencing::isSuspect)
                .map(Member::session)
                .forEach(excluded::add);
        return context.placement().place(view.record(), context.config(), partitions, excluded);
    }

    private Optional<GroupRecord> proposeAssignment() {
        if (own.current().isEmpty() || !own.hasValidLease()) {
            return Optional.empty();
        }
        // Asked last, because asking makes a quiet daemon read the platform.
        return assignment
                .propose(own.current().get())
                .or(this::proposeWitnessesForOthers)
                .filter(change -> reads.isResponsive());
    }

    private Optional<GroupRecord> proposeWitnessesForOthers() {
        return assignment.isProposer(own.current()) ? witnesses.proposeForOthers() : Optional.empty();
    }
}
