package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Proposes owners for unassigned partitions and plans the moves that balance the members. Not thread-safe. */
final class AssignmentProposer {
    /** Lets all members that start together join before the first placement, which saves later moves. */
    private static final Duration INITIAL_ASSIGNMENT_DELAY = Duration.ofMillis(500);
    /** Gives the member of the lowest rank time to act before the next one does so in its place. */
    private static final Duration RANK_DELAY_STEP = Duration.ofMillis(500);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
    private static final Duration REBALANCE_INTERVAL = Duration.ofSeconds(2);
    /** Delays rebalancing after the members changed, so that late pushes and loads arrive first. */
    private static final Duration REBALANCE_DELAY = Duration.ofSeconds(3);

    private static final Duration MOVE_WINDOW = Duration.ofSeconds(10);
    private static final int MAX_MOVES_PER_WINDOW = 2;

    private final ControllerContext context;
    private final GroupView view;
    private final List<RecentMove> recentMoves = new ArrayList<>();
    private Map<PartitionId, Double> loads = Map.of();
    private long nextPlanNanos;
    private long nextCheckNanos;

    AssignmentProposer(ControllerContext context, GroupView view) {
        this.context = context;
        this.view = view;
        nextPlanNanos = context.nanosAfter(REBALANCE_INTERVAL);
        nextCheckNanos = context.time().monotonicNanos();
    }

    private record RecentMove(SessionId session, long atNanos) {}

    void setLoads(Map<PartitionId, Double> newLoads) {
        loads = Map.copyOf(newLoads);
    }

    /** Counts the moves between the previous and the current record. */
    void onRecord(GroupRecord previous) {
        for (Grant grant : view.record().grants()) {
            previous.grant(grant.partition())
                    .filter(oldGrant -> !oldGrant.owner().equals(grant.owner()))
                    .filter(oldGrant -> view.record().member(oldGrant.owner()).isPresent())
                    .ifPresent(oldGrant -> {
                        addRecentMove(oldGrant.owner());
                        addRecentMove(grant.owner());
                    });
        }
    }

    private void addRecentMove(SessionId session) {
        recentMoves.add(new RecentMove(session, context.time().monotonicNanos()));
    }

    /** Returns how many more partitions may be moved to or from a member now. */
    int remainingMoves(SessionId session) {
        recentMoves.removeIf(move -> context.isDue(move.atNanos() + MOVE_WINDOW.toNanos()));
        long used = recentMoves.stream()
                .filter(move -> move.session().equals(session))
                .count();
        return (int) Math.max(0, MAX_MOVES_PER_WINDOW - used);
    }

    /** Returns whether this daemon has the lowest id among the active members. */
    boolean isProposer(Optional<SessionId> localSession) {
        return localSession.isPresent() && rank(localSession.get()) == 0;
    }

    /** Proposes owners for partitions without one. */
    Optional<GroupRecord> propose(SessionId localSession) {
        if (!context.isDue(nextCheckNanos)) {
            return Optional.empty();
        }
        nextCheckNanos = context.nanosAfter(CHECK_INTERVAL);
        Duration delay = INITIAL_ASSIGNMENT_DELAY.plus(RANK_DELAY_STEP.multipliedBy(Math.max(0, rank(localSession))));
        if (!view.record().hasQuorumSize() || !context.isDue(view.membersUnchangedSinceNanos() + delay.toNanos())) {
            return Optional.empty();
        }
        List<PartitionId> unassigned = context.placement().unassigned(view.record(), context.config());
        Map<PartitionId, SessionId> owners =
                context.placement().place(view.record(), context.config(), unassigned, Set.of());
        return owners.isEmpty() ? Optional.empty() : Optional.of(GroupTransitions.assign(view.record(), owners));
    }

    /** Plans moves that balance the members, at intervals and only while the members stay the same. */
    List<PartitionMove> planMoves() {
        if (!context.isDue(nextPlanNanos)
                || !context.isDue(view.membersUnchangedSinceNanos() + REBALANCE_DELAY.toNanos())) {
            return List.of();
        }
        nextPlanNanos = context.nanosAfter(REBALANCE_INTERVAL);
        Map<SessionId, Integer> remainingMoves = new HashMap<>();
        view.record()
                .members()
                .forEach(member -> remainingMoves.put(member.session(), remainingMoves(member.session())));
        return context.placement().rebalance(view.record(), context.config(), loads, remainingMoves);
    }

    /** Returns the position of a session among the active members; -1 when it is not an active member. */
    private int rank(SessionId localSession) {
        int rank = 0;
        for (Member member : view.record().members()) {
            if (member.session().equals(localSession)) {
                return member.state() == MemberState.ACTIVE ? rank : -1;
            }
            rank += member.state() == MemberState.ACTIVE ? 1 : 0;
        }
        return -1;
    }
}
