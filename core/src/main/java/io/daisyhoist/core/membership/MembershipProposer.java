package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Proposes that the local daemon joins, rejoins, changes its state or leaves. Not thread-safe. */
final class MembershipProposer {
    /** Time given to other members to replace the leaving member as their witness. */
    private static final Duration WITNESS_REPLACEMENT_TIMEOUT = Duration.ofSeconds(3);

    private final ControllerContext context;
    private final GroupView view;
    private final LocalSession localSession;
    private final Fencing fencing;
    private final WitnessMaintenance witnessMaintenance;
    private boolean backendAvailable;
    private boolean leaving;
    private Optional<Long> leaveDeadlineNanos = Optional.empty();

    MembershipProposer(
            ControllerContext context,
            GroupView view,
            LocalSession localSession,
            Fencing fencing,
            WitnessMaintenance witnessMaintenance) {
        this.context = context;
        this.view = view;
        this.localSession = localSession;
        this.fencing = fencing;
        this.witnessMaintenance = witnessMaintenance;
    }

    void setBackendAvailable(boolean available) {
        backendAvailable = available;
    }

    void startLeaving() {
        leaving = true;
    }

    void finishLeaving() {
        leaving = true;
        if (leaveDeadlineNanos.isEmpty()) {
            leaveDeadlineNanos = Optional.of(context.nanosAfter(WITNESS_REPLACEMENT_TIMEOUT));
        }
    }

    boolean hasLeft() {
        return leaveDeadlineNanos.isPresent() && view.isKnown() && isUnlisted();
    }

    /** Returns whether the local member hands over its partitions. */
    boolean isWithdrawing() {
        return leaving
                || !backendAvailable
                || context.config().isOut(context.profile().zone());
    }

    /** Requests fences of a session that an earlier process of this daemon left in the record. */
    void onTick() {
        view.localMember()
                .filter(this::isOfEarlierProcess)
                .filter(member -> shouldBeMember())
                .ifPresent(fencing::requestFences);
    }

    Optional<GroupRecord> propose() {
        Optional<Member> member = view.localMember();
        if (member.isEmpty()) {
            return shouldBeMember() ? Optional.of(join()) : Optional.empty();
        }
        if (member.map(Member::session).equals(localSession.current())) {
            return leaveOrChangeState(member.get());
        }
        return shouldBeMember() && isReplaceable(member.get()) ? Optional.of(rejoin(member.get())) : Optional.empty();
    }

    private GroupRecord join() {
        return GroupTransitions.join(view.record(), newMember());
    }

    private Member newMember() {
        return context.profile()
                .newMember(localSession.newSession())
                .withWitnesses(witnessMaintenance.selectForNewSession());
    }

    private GroupRecord rejoin(Member dead) {
        Member member = newMember();
        return GroupTransitions.rejoin(view.record(), dead.session(), member, ownersAfterRejoin(dead, member));
    }

    /**
     * Returns whether a new session may replace a listed one. A session of this process must have been abandoned; one
     * of an earlier process must be dead, or have no witnesses and therefore no lease.
     */
    private boolean isReplaceable(Member member) {
        return isOfEarlierProcess(member)
                ? member.witnesses().isEmpty() || fencing.isDead(member)
                : localSession.isAbandoned(member.session());
    }

    /**
     * Returns the owners of the partitions of a replaced session. A process that kept running keeps them; after a
     * restart they go to eligible members whose backend servers are already warm, and only without one to the new
     * session.
     */
    private Map<PartitionId, SessionId> ownersAfterRejoin(Member dead, Member member) {
        List<PartitionId> partitions = view.record().grantsOf(dead.session()).stream()
                .map(Grant::partition)
                .toList();
        Map<PartitionId, SessionId> owners = new HashMap<>();
        if (isOfEarlierProcess(dead) || isWithdrawing()) {
            owners.putAll(
                    context.placement().place(view.record(), context.config(), partitions, Set.of(dead.session())));
        }
        partitions.stream()
                .filter(partition -> OwnerEligibility.isEligible(member, partition.service(), context.config()))
                .forEach(partition -> owners.putIfAbsent(partition, member.session()));
        return owners;
    }

    private Optional<GroupRecord> leaveOrChangeState(Member member) {
        if (mayLeave(member)) {
            return Optional.of(GroupTransitions.leave(view.record(), member.session()));
        }
        MemberState newState = leaving || !backendAvailable ? MemberState.LEAVING : MemberState.ACTIVE;
        return member.state() == newState
                ? Optional.empty()
                : Optional.of(GroupTransitions.changeState(view.record(), member.session(), newState));
    }

    private boolean mayLeave(Member member) {
        return leaveDeadlineNanos.isPresent()
                && view.record().grantsOf(member.session()).isEmpty()
                && (context.isDue(leaveDeadlineNanos.get()) || !isWitnessOfOthers(member));
    }

    private boolean isWitnessOfOthers(Member member) {
        return view.record().members().stream()
                .filter(other -> !other.session().equals(member.session()))
                .anyMatch(other -> other.witnesses().contains(member.session().process()));
    }

    private boolean isUnlisted() {
        return view.localMember().filter(member -> !isOfEarlierProcess(member)).isEmpty();
    }

    private boolean shouldBeMember() {
        return backendAvailable && !leaving;
    }

    private boolean isOfEarlierProcess(Member member) {
        return !member.session().process().equals(context.profile().process());
    }
}
