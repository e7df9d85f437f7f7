package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Proposes to join, rejoin, change the state of the own member, or leave. Not thread-safe. */
final class MembershipProposer {
    /** Time for other members to replace the leaving member as their witness. */
    private static final Duration WITNESS_GRACE = Duration.ofSeconds(3);

    private final ControlContext context;
    private final GroupView view;
    private final OwnSession own;
    private final Fencing fencing;
    private final WitnessMaintenance witnesses;
    private boolean backendAvailable;
    private boolean leaving;
    private Optional<Long> leaveByNanos = Optional.empty();

    MembershipProposer(
            ControlContext context, GroupView view, OwnSession own, Fencing fencing, WitnessMaintenance witnesses) {
        this.context = context;
        this.view = view;
        this.own = own;
        this.fencing = fencing;
        this.witnesses = witnesses;
    }

    void setBackendAvailable(boolean available) {
        backendAvailable = available;
    }

    void startLeaving() {
        leaving = true;
    }

    void finishLeaving() {
        leaving = true;
        if (leaveByNanos.isEmpty()) {
            leaveByNanos = Optional.of(context.nanosAfter(WITNESS_GRACE));
        }
    }

    boolean hasLeft() {
        return leaveByNanos.isPresent() && view.isKnown() && ownSessionIsUnlisted();
    }

    /** Returns whether the own member hands over its partitions. */
    boolean isWithdrawing() {
        return leaving
                || !backendAvailable
                || context.config().isOut(context.profile().zone());
    }

    /** Asks for fences of a session that an earlier process of this daemon left in the record. */
    void onTick() {
        view.ownEntry()
                .filter(this::isOfEarlierProcess)
                .filter(entry -> wantsToBeMember())
                .ifPresent(fencing::pursue);
    }

    Optional<GroupRecord> propose() {
        Optional<Member> entry = view.ownEntry();
        if (entry.isEmpty()) {
            return wantsToBeMember() ? Optional.of(join()) : Optional.empty();
        }
        if (entry.map(Member::session).equals(own.current())) {
            return leaveOrChangeState(entry.get());
        }
        return wantsToBeMember() && isReplaceable(entry.get()) ? Optional.of(rejoin(entry.get())) : Optional.empty();
    }

    private GroupRecord join() {
        return GroupTransitions.join(view.record(), newMember());
    }

    private Member newMember() {
        return context.profile().member(own.newSession()).withWitnesses(witnesses.forNewSession());
    }

    private GroupRecord rejoin(Member dead) {
        Member member = newMember();
        return GroupTransitions.rejoin(view.record(), dead.session(), member, ownersAfter(dead, member));
    }

    /** A session of this process was given up by it; one of an earlier process must be fenced or without a lease. */
    private boolean isReplaceable(Member entry) {
        return isOfEarlierProcess(entry)
                ? entry.witnesses().isEmpty() || fencing.isDead(entry)
                : own.isGivenUp(entry.session());
    }

    /** A process that lives keeps its partitions; after a restart they go to members that are warm, if there are any. */
    private Map<PartitionId, SessionId> ownersAfter(Member dead, Member member) {
        List<PartitionId> partitions = view.record().grantsOf(dead.session()).stream()
                .map(Grant::partition)
                .toList();
        Map<PartitionId, SessionId> owners = new HashMap<>();
        if (isOfEarlierProcess(dead) || isWithdrawing()) {
            owners.putAll(
                    context.placement().place(view.record(), context.config(), partitions, Set.of(dead.session())));
        }
        partitions.stream()
                .filter(partition -> OwnerRules.mayReceive(member, partition.service(), context.config()))
                .forEach(partition -> owners.putIfAbsent(partition, member.session()));
        return owners;
    }

    private Optional<GroupRecord> leaveOrChangeState(Member entry) {
        if (mayLeave(entry)) {
            return Optional.of(GroupTransitions.leave(view.record(), entry.session()));
        }
        MemberState wanted = leaving || !backendAvailable ? MemberState.LEAVING : MemberState.ACTIVE;
        return entry.state() == wanted
                ? Optional.empty()
                : Optional.of(GroupTransitions.changeState(view.record(), entry.session(), wanted));
    }

    private boolean mayLeave(Member entry) {
        return leaveByNanos.isPresent()
                && view.record().grantsOf(entry.session()).isEmpty()
                && (context.isDue(leaveByNanos.get()) || !isWitnessOfOthers(entry));
    }

    private boolean isWitnessOfOthers(Member entry) {
        return view.record().members().stream()
                .filter(other -> !other.session().equals(entry.session()))
                .anyMatch(other -> other.witnesses().contains(entry.session().process()));
    }

    private boolean ownSessionIsUnlisted() {
        return view.ownEntry().filter(entry -> !isOfEarlierProcess(entry)).isEmpty();
    }

    private boolean wantsToBeMember() {
        return backendAvailable && !leaving;
    }

    private boolean isOfEarlierProcess(Member entry) {
        return !entry.session().process().equals(context.profile().process());
    }
}
