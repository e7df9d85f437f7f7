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

/** Proposes owners for unassigned partitions and plans moves. Not thread-safe. */
final class AssignmentProposer {
    /** Members that start together are all listed before the first placement, which saves moves. */
    private static final Duration SETTLE = Duration.ofMillis(500);
    /** Lets the proposer act before another member replaces it. */
    private static final Duration RANK_SPACING = Duration.ofMillis(500);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
    private static final Duration REBALANCE_INTERVAL = Duration.ofSeconds(2);
    /** A changed record is left alone for this long, so that late pushes and loads arrive. */
    private static final Duration REBALANCE_SETTLE = Duration.ofSeconds(3);

    private static final Duration MOVE_WINDOW = Duration.ofSeconds(10);
    private static final int MOVES_PER_WINDOW = 2;

    private final ControlContext context;
    private final GroupView view;
    private final List<Moved> recentMoves = new ArrayList<>();
    private Map<PartitionId, Double> loads = Map.of();
    private long nextPlanNanos;
    private long nextCheckNanos;

    AssignmentProposer(ControlContext context, GroupView view) {
        this.context = context;
        this.view = view;
        nextPlanNanos = context.nanosAfter(REBALANCE_INTERVAL);
        nextCheckNanos = context.time().monotonicNanos();
    }

    private record Moved(SessionId session, long atNanos) {}

    void setLoads(Map<PartitionId, Double> newLoads) {
        loads = Map.copyOf(newLoads);
    }

    /** Counts the moves between two records. */
    void onRecord(GroupRecord before) {
        for (Grant grant : view.record().grants()) {
            before.grant(grant.partition())
                    .filter(old -> !old.owner().equals(grant.owner()))
                    .filter(old -> view.record().member(old.owner()).isPresent())
                    .ifPresent(old -> {
                        noteMove(old.owner());
                        noteMove(grant.owner());
                    });
        }
    }

    private void noteMove(SessionId session) {
        recentMoves.add(new Moved(session, context.time().monotonicNanos()));
    }

    /** Returns how many more partitions may be moved to or from a member now. */
    int budget(SessionId session) {
        recentMoves.removeIf(moved -> context.isDue(moved.atNanos() + MOVE_WINDOW.toNanos()));
        long used = recentMoves.stream()
                .filter(moved -> moved.session().equals(session))
                .count();
        return (int) Math.max(0, MOVES_PER_WINDOW - used);
    }

    /** Returns whether this daemon has the lowest id among the active members. */
    boolean isProposer(Optional<SessionId> own) {
        return own.isPresent() && rank(own.get()) == 0;
    }

    /** Assigns partitions without an owner. */
    Optional<GroupRecord> propose(SessionId own) {
        if (!context.isDue(nextCheckNanos)) {
            return Optional.empty();
        }
        nextCheckNanos = context.nanosAfter(CHECK_INTERVAL);
        Duration delay = SETTLE.plus(RANK_SPACING.multipliedBy(Math.max(0, rank(own))));
        if (!view.record().hasQuorumSize() || !context.isDue(view.membersSinceNanos() + delay.toNanos())) {
            return Optional.empty();
        }
        List<PartitionId> unassigned = context.placement().unassigned(view.record(), context.config());
        Map<PartitionId, SessionId> owners =
                context.placement().place(view.record(), context.config(), unassigned, Set.of());
        return owners.isEmpty() ? Optional.empty() : Optional.of(GroupTransitions.assign(view.record(), owners));
    }

    /** Plans moves that balance the members, at intervals and only in a settled group. */
    List<PartitionMove> planMoves() {
        if (!context.isDue(nextPlanNanos) || !context.isDue(view.membersSinceNanos() + REBALANCE_SETTLE.toNanos())) {
            return List.of();
        }
        nextPlanNanos = context.nanosAfter(REBALANCE_INTERVAL);
        Map<SessionId, Integer> budgets = new HashMap<>();
        view.record().members().forEach(member -> budgets.put(member.session(), budget(member.session())));
        return context.placement().rebalance(view.record(), context.config(), loads, budgets);
    }

    private int rank(SessionId own) {
        int rank = 0;
        for (Member member : view.record().members()) {
            if (member.session().equals(own)) {
                return member.state() == MemberState.ACTIVE ? rank : -1;
            }
            rank += member.state() == MemberState.ACTIVE ? 1 : 0;
        }
        return -1;
    }
}
