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
import io.daisyhoist.core.lease.LeaseWitness;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Membership and ownership decisions of one daemon, as a state machine without I/O.
 *
 * <p>Invariants: the known record version never decreases; at most one swap of this daemon is pending at a time; a
 * partition that a pending swap reassigns is not served; a grant is served only under the current session and a valid
 * lease. Not thread-safe: one control thread calls it and publishes {@link #snapshot()} to traffic threads after each
 * call. No method blocks; resulting actions are returned by the next {@link #onTick()}.
 */
public final class GroupController {
    private static final Duration PEER_FETCH_INTERVAL = Duration.ofMillis(150);

    private final ControllerContext context;
    private final GroupView view;
    private final GroupRecordReader reader;
    private final GroupRecordWriter writer;
    private final LeaseWitness leaseWitness;
    private final LocalSession localSession;
    private final Fencing fencing;
    private final HandOverTracker handOvers;
    private final WitnessMaintenance witnessMaintenance;
    private final MembershipProposer membershipProposer;
    private final AssignmentProposer assignmentProposer;
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
        context = new ControllerContext(profile, settings, placement, time, random);
        view = new GroupView(context);
        reader = new GroupRecordReader(context);
        writer = new GroupRecordWriter(context, view, reader);
        leaseWitness = new LeaseWitness(settings.ttl(), time);
        localSession = new LocalSession(context, view, leaseWitness);
        fencing = new Fencing(context, view, leaseWitness);
        handOvers = new HandOverTracker(context, view);
        witnessMaintenance = new WitnessMaintenance(context, view, reader, localSession);
        membershipProposer = new MembershipProposer(context, view, localSession, fencing, witnessMaintenance);
        assignmentProposer = new AssignmentProposer(context, view);
        startNanos = time.monotonicNanos();
        nextFetchNanos = startNanos;
    }

    /**
     * Advances timers and returns the actions to carry out, in order. Called every 50 ms; calling it also right after
     * other methods shortens failover and moves by up to 50 ms per step. The caller publishes {@link #snapshot()}
     * before it carries out the actions, so that a partition is no longer served when an action hands it over.
     */
    public List<GroupAction> onTick() {
        reader.onTick(assignmentProposer.isProposer(localSession.current()));
        writer.onTick();
        localSession.onTick();
        abandonFencedSession();
        fencing.onTick();
        membershipProposer.onTick();
        handOvers.onTick();
        startMoves();
        if (view.isKnown() && writer.canPropose()) {
            propose().ifPresent(writer::propose);
        }
        return context.drainActions();
    }

    /** Returns the view of the group for traffic threads; the same object until something changes. */
    public GroupSnapshot snapshot() {
        if (isSnapshotCurrent()) {
            return snapshot;
        }
        Map<PartitionId, Grant> served = new HashMap<>();
        localSession
                .current()
                .map(session -> view.record().grantsOf(session))
                .orElse(List.of())
                .forEach(grant -> served.put(grant.partition(), grant));
        served.keySet().removeAll(handOvers.partitions());
        snapshot = new GroupSnapshot(
                view.record(),
                view.revision(),
                localSession.current(),
                served,
                handOvers.partitions(),
                localSession.snapshot());
        return snapshot;
    }

    private boolean isSnapshotCurrent() {
        return snapshot.record() == view.record()
                && snapshot.lease() == localSession.snapshot()
                && snapshot.session().equals(localSession.current())
                && snapshot.handingOver().equals(handOvers.partitions());
    }

    /**
     * Handles a record that was read from the platform.
     *
     * @param record the record, {@link GroupRecord#EMPTY} when the key is absent
     * @param revision its platform revision, 0 when the key is absent
     */
    public void onRecord(GroupRecord record, long revision) {
        reader.onReadFinished();
        if (updateRecord(record, revision)) {
            // The writer may have stopped before it published the record, so publish it on its behalf.
            context.emit(new GroupAction.Publish(record, revision));
        }
    }

    /** Handles a committed record from a peer; earlier versions are ignored. */
    public void onPeerRecord(GroupRecord record, long revision) {
        updateRecord(record, revision);
    }

    /** Handles the record version in a peer's heartbeat or acknowledgement; a later version is fetched. */
    public void onPeerVersion(ProcessId peer, long version) {
        if (version <= view.record().version() || !context.isDue(nextFetchNanos)) {
            return;
        }
        nextFetchNanos = context.nanosAfter(PEER_FETCH_INTERVAL);
        view.endpoint(peer)
                .ifPresentOrElse(
                        address -> context.emit(new GroupAction.FetchRecord(peer, address)), reader::requestRead);
    }

    /** Handles a read from the platform that failed or timed out. */
    public void onReadFailed() {
        reader.onReadFailed();
    }

    /** Answers a heartbeat of another member. */
    public HeartbeatOutcome onHeartbeat(SessionId session) {
        return leaseWitness.heartbeat(session);
    }

    /**
     * Handles the response to a heartbeat of this daemon.
     *
     * @param session session in the heartbeat
     * @param witness process that answered
     * @param sentAt send time from the action
     * @param outcome the response
     */
    public void onHeartbeatAck(SessionId session, ProcessId witness, ElapsedTimer sentAt, HeartbeatOutcome outcome) {
        localSession.onAck(session, witness, sentAt, outcome);
    }

    /**
     * Answers a request to fence a session.
     *
     * @param addressee witness to which the request is addressed; if it is an earlier process of this daemon, that
     *     process has ended, because only one process can have the daemon's address
     */
    public FenceOutcome onFenceRequest(ProcessId addressee, SessionId session) {
        ProcessId localProcess = context.profile().process();
        if (addressee.daemon().equals(localProcess.daemon()) && !addressee.equals(localProcess)) {
            return FenceOutcome.superseded(Duration.ofNanos(context.time().monotonicNanos() - startNanos));
        }
        return leaseWitness.fence(session);
    }

    /**
     * Handles the response to a fence request of this daemon.
     *
     * @param session session in the request
     * @param witness process that answered, or the addressee when it has been superseded
     * @param outcome the response
     */
    public void onFenceReply(SessionId session, ProcessId witness, FenceOutcome outcome) {
        fencing.onReply(session, witness, outcome);
    }

    /**
     * Handles the result of a swap.
     *
     * @param swapId number from the action
     * @param result outcome
     * @param newRevision platform revision of the written record when the result is APPLIED, otherwise ignored
     */
    public void onSwapResult(long swapId, SwapResult result, long newRevision) {
        writer.onResult(swapId, result).ifPresent(committed -> {
            updateRecord(committed, newRevision);
            context.emit(new GroupAction.Publish(committed, newRevision));
        });
    }

    public void onConfig(EffectiveConfig config) {
        context.setConfig(config);
    }

    /**
     * Sets whether the backend server announces itself; the daemon joins and receives partitions only while it does.
     */
    public void onBackendAvailable(boolean available) {
        membershipProposer.setBackendAvailable(available);
    }

    /** Sets the loads, in any unit, that rebalancing uses; a partition without an entry counts as 1. */
    public void onPartitionLoads(Map<PartitionId, Double> loads) {
        assignmentProposer.setLoads(loads);
    }

    /** Marks the local member as leaving and hands over its partitions. */
    public void startLeaving() {
        membershipProposer.startLeaving();
    }

    /** Removes the local member once its partitions are handed over; called when its in-flight requests have ended. */
    public void finishLeaving() {
        membershipProposer.finishLeaving();
    }

    /** Returns whether the local member has been removed after {@link #finishLeaving}. */
    public boolean hasLeft() {
        return membershipProposer.hasLeft();
    }

    /**
     * Starts moving a partition of this daemon. The request is ignored when this daemon does not own the partition, the
     * target is not eligible, the platform has not responded for 1 s, or the member has reached its limit of moves.
     */
    public void requestMove(PartitionId partition, SessionId to) {
        Optional<Member> target = view.record()
                .member(to)
                .filter(member -> OwnerEligibility.isEligible(member, partition.service(), context.config()));
        Optional<Grant> grant = localGrant(partition);
        if (target.isEmpty() || grant.isEmpty() || grant.get().owner().equals(to) || !mayStartMoves()) {
            return;
        }
        if (assignmentProposer.remainingMoves(grant.get().owner())
                > handOvers.partitions().size()) {
            handOvers.start(grant.get(), target.get());
        }
    }

    /** Handles a completed hand-over: no request of the partition is running and its attempt records have been sent. */
    public void onHandedOver(PartitionId partition) {
        handOvers.onHandedOver(partition);
    }

    /**
     * Handles a failed hand-over.
     *
     * @param partition the partition
     * @param recordsSent whether the next owner may have received attempt records; the partition is then served again
     *     only under a new epoch, so that the records it received stay complete for the old epoch
     */
    public void onHandOverFailed(PartitionId partition, boolean recordsSent) {
        handOvers.onFailed(partition, recordsSent);
    }

    /** Applies a record; returns whether it resolves the pending change of this daemon as a conflict. */
    private boolean updateRecord(GroupRecord record, long revision) {
        GroupRecord previous = view.record();
        if (!view.update(record, revision)) {
            return false;
        }
        Set<SessionId> listed = new HashSet<>();
        record.members().forEach(member -> listed.add(member.session()));
        leaseWitness.setListedSessions(listed);
        boolean conflicted = writer.onRecord();
        if (localSession.onRecord(writer.hasNoPendingChange())) {
            handOvers.clear();
        }
        handOvers.onRecord();
        fencing.onRecord();
        assignmentProposer.onRecord(previous);
        return conflicted;
    }

    /**
     * Abandons a session that a witness has fenced: it rarely regains its lease, while a new session gets one at once.
     */
    private void abandonFencedSession() {
        if (localSession.current().isPresent()
                && !localSession.hasValidLease()
                && !localSession.fencedBy().isEmpty()
                && reader.isResponsive()) {
            localSession.abandon();
            handOvers.clear();
        }
    }

    private void startMoves() {
        if (localSession.current().isEmpty() || !localSession.hasValidLease()) {
            return;
        }
        if (membershipProposer.isWithdrawing()) {
            handOverAllPartitions(localSession.current().get());
        } else if (assignmentProposer.isProposer(localSession.current())) {
            assignmentProposer.planMoves().forEach(this::startOrRequestMove);
        }
    }

    private void handOverAllPartitions(SessionId session) {
        List<PartitionId> remaining = view.record().grantsOf(session).stream()
                .map(Grant::partition)
                .filter(partition -> !handOvers.contains(partition))
                .toList();
        if (remaining.isEmpty() || !mayStartMoves()) {
            return;
        }
        context.placement()
                .place(view.record(), context.config(), remaining, Set.of(session))
                .forEach((partition, to) -> localGrant(partition)
                        .ifPresent(
                                grant -> view.record().member(to).ifPresent(member -> handOvers.start(grant, member))));
    }

    private void startOrRequestMove(PartitionMove move) {
        if (Optional.of(move.from()).equals(localSession.current())) {
            requestMove(move.partition(), move.to());
            return;
        }
        view.endpoint(move.from().process())
                .ifPresent(peer -> context.emit(
                        new GroupAction.RequestMove(move.from().process(), peer, move.partition(), move.to())));
    }

    private boolean mayStartMoves() {
        return localSession.hasValidLease() && writer.hasNoPendingChange() && reader.isResponsive();
    }

    private Optional<Grant> localGrant(PartitionId partition) {
        return view.record()
                .grant(partition)
                .filter(grant -> Optional.of(grant.owner()).equals(localSession.current()))
                .filter(grant -> !handOvers.contains(partition));
    }

    /** Returns the most urgent change of the record. */
    private Optional<GroupRecord> propose() {
        return membershipProposer
                .propose()
                .or(this::proposeFailover)
                .or(() -> localSession.current().flatMap(handOvers::propose))
                .or(witnessMaintenance::propose)
                .or(this::proposeAssignment);
    }

    private Optional<GroupRecord> proposeFailover() {
        return fencing.findDead()
                .filter(dead -> !Optional.of(dead.session()).equals(localSession.current()))
                .map(dead -> GroupTransitions.failover(view.record(), dead.session(), ownersAfterFailover(dead)));
    }

    private Map<PartitionId, SessionId> ownersAfterFailover(Member dead) {
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
        if (localSession.current().isEmpty() || !localSession.hasValidLease()) {
            return Optional.empty();
        }
        // Checked last, because the check makes an otherwise idle daemon read from the platform.
        return assignmentProposer
                .propose(localSession.current().get())
                .or(this::proposeWitnessesForOtherMember)
                .filter(change -> reader.isResponsive());
    }

    private Optional<GroupRecord> proposeWitnessesForOtherMember() {
        return assignmentProposer.isProposer(localSession.current())
                ? witnessMaintenance.proposeForMemberWithoutWitnesses()
                : Optional.empty();
    }
}
