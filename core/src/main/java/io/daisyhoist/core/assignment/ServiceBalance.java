package io.daisyhoist.core.assignment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.PartitionMove;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Plan of moves among the members of one service; lives for one call. Not thread-safe. */
final class ServiceBalance {
    private final Map<PartitionId, Double> loads;
    private final Map<SessionId, Integer> budgets;
    private final double hysteresis;
    private final Map<SessionId, List<PartitionId>> owned = new HashMap<>();
    private final Map<SessionId, Double> totals = new HashMap<>();

    ServiceBalance(
            GroupRecord record,
            List<SessionId> members,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> budgets,
            double hysteresis) {
        this.loads = loads;
        this.budgets = new HashMap<>(budgets);
        this.hysteresis = hysteresis;
        for (SessionId member : members) {
            List<PartitionId> partitions =
                    record.grantsOf(member).stream().map(Grant::partition).toList();
            owned.put(member, new ArrayList<>(partitions));
            totals.put(member, partitions.stream().mapToDouble(this::load).sum());
        }
    }

    List<PartitionMove> plan() {
        List<PartitionMove> moves = new ArrayList<>();
        Optional<PartitionMove> next = next();
        while (next.isPresent()) {
            apply(next.get());
            moves.add(next.get());
            next = next();
        }
        return moves;
    }

    private Optional<PartitionMove> next() {
        double mean = totals.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        List<SessionId> movable = totals.keySet().stream()
                .filter(session -> budgets.getOrDefault(session, 0) > 0)
                .sorted(Comparator.<SessionId>comparingDouble(totals::get).thenComparing(SessionId::daemon))
                .toList();
        if (movable.size() < 2) {
            return Optional.empty();
        }
        SessionId lowest = movable.get(0);
        SessionId highest = movable.get(movable.size() - 1);
        boolean unbalanced =
                totals.get(highest) > mean * (1 + hysteresis) || totals.get(lowest) < mean * (1 - hysteresis);
        // A source near the mean is left alone: moving from it would not lower the maximum of the service.
        boolean worthwhile = totals.get(highest) > mean * (1 + hysteresis / 2);
        return unbalanced && worthwhile ? bestMove(highest, lowest) : Optional.empty();
    }

    /** Finds the partition whose move brings the two members closest together and lowers the higher load. */
    private Optional<PartitionMove> bestMove(SessionId from, SessionId to) {
        double gap = totals.get(from) - totals.get(to);
        return owned.get(from).stream()
                .filter(partition -> load(partition) > 0 && load(partition) < gap)
                .min(Comparator.<PartitionId>comparingDouble(partition -> Math.abs(gap / 2 - load(partition)))
                        .thenComparing(Comparator.naturalOrder()))
                .map(partition -> new PartitionMove(partition, from, to));
    }

    private void apply(PartitionMove move) {
        double load = load(move.partition());
        owned.get(move.from()).remove(move.partition());
        owned.get(move.to()).add(move.partition());
        totals.merge(move.from(), -load, Double::sum);
        totals.merge(move.to(), load, Double::sum);
        budgets.merge(move.from(), -1, Integer::sum);
        budgets.merge(move.to(), -1, Integer::sum);
    }

    private double load(PartitionId partition) {
        return loads.getOrDefault(partition, 1.0);
    }
}
