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

/** Plans the moves that balance the members of one service; used for a single call. Not thread-safe. */
final class RebalancePlanner {
    private final Map<PartitionId, Double> loads;
    private final Map<SessionId, Integer> remainingMoves;
    private final double loadTolerance;
    private final Map<SessionId, List<PartitionId>> partitionsByMember = new HashMap<>();
    private final Map<SessionId, Double> loadByMember = new HashMap<>();

    RebalancePlanner(
            GroupRecord record,
            List<SessionId> members,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> remainingMoves,
            double loadTolerance) {
        this.loads = loads;
        this.remainingMoves = new HashMap<>(remainingMoves);
        this.loadTolerance = loadTolerance;
        for (SessionId member : members) {
            List<PartitionId> partitions =
                    record.grantsOf(member).stream().map(Grant::partition).toList();
            partitionsByMember.put(member, new ArrayList<>(partitions));
            loadByMember.put(member, partitions.stream().mapToDouble(this::load).sum());
        }
    }

    List<PartitionMove> plan() {
        List<PartitionMove> moves = new ArrayList<>();
        Optional<PartitionMove> move = nextMove();
        while (move.isPresent()) {
            apply(move.get());
            moves.add(move.get());
            move = nextMove();
        }
        return moves;
    }

    private Optional<PartitionMove> nextMove() {
        double mean = loadByMember.values().stream()
                .mapToDouble(Double::doubleValue)
                .average()
                .orElse(0);
        List<SessionId> movable = loadByMember.keySet().stream()
                .filter(session -> remainingMoves.getOrDefault(session, 0) > 0)
                .sorted(Comparator.<SessionId>comparingDouble(loadByMember::get).thenComparing(SessionId::daemon))
                .toList();
        if (movable.size() < 2) {
            return Optional.empty();
        }
        SessionId lowest = movable.get(0);
        SessionId highest = movable.get(movable.size() - 1);
        boolean unbalanced = loadByMember.get(highest) > mean * (1 + loadTolerance)
                || loadByMember.get(lowest) < mean * (1 - loadTolerance);
        // Moving a partition from a member close to the mean would not lower the highest load of the service.
        boolean sourceOverloaded = loadByMember.get(highest) > mean * (1 + loadTolerance / 2);
        return unbalanced && sourceOverloaded ? bestMove(highest, lowest) : Optional.empty();
    }

    /** Finds the partition whose move makes the loads of the two members most equal and lowers the higher one. */
    private Optional<PartitionMove> bestMove(SessionId from, SessionId to) {
        double loadDifference = loadByMember.get(from) - loadByMember.get(to);
        return partitionsByMember.get(from).stream()
                .filter(partition -> load(partition) > 0 && load(partition) < loadDifference)
                .min(Comparator.<PartitionId>comparingDouble(
                                partition -> Math.abs(loadDifference / 2 - load(partition)))
                        .thenComparing(Comparator.naturalOrder()))
                .map(partition -> new PartitionMove(partition, from, to));
    }

    private void apply(PartitionMove move) {
        double load = load(move.partition());
        partitionsByMember.get(move.from()).remove(move.partition());
        partitionsByMember.get(move.to()).add(move.partition());
        loadByMember.merge(move.from(), -load, Double::sum);
        loadByMember.merge(move.to(), load, Double::sum);
        remainingMoves.merge(move.from(), -1, Integer::sum);
        remainingMoves.merge(move.to(), -1, Integer::sum);
    }

    private double load(PartitionId partition) {
        return loads.getOrDefault(partition, 1.0);
    }
}
