package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Decides which backend server is to hold which keys. Stateless; the same inputs give the same plan.
 */
public final class RangePlanner {
    /** Keys move only for more than this share of the mean load, since each move costs service for a moment. */
    private static final double IMBALANCE = 0.25;

    private RangePlanner() {}

    /** Divides all keys evenly, as the first table of a service. */
    public static RangeTable initial(ServiceName service, List<RangeOwner> owners) {
        List<RangeAssignment> rows = new ArrayList<>();
        int keys = KeyRange.MAX_KEY + 1;
        for (int i = 0; i < owners.size(); i++) {
            KeyRange range = new KeyRange(
                    (int) ((long) keys * i / owners.size()), (int) ((long) keys * (i + 1) / owners.size()) - 1);
            rows.add(RangeAssignment.of(
                    range, owners.get(i).daemon(), owners.get(i).life(), 1, ""));
        }
        return new RangeTable(service, 1, rows);
    }

    /**
     * Gives the assignments that have lost their holder to the remaining backend servers, each to the one with the fewest
     * keys so far.
     *
     * @param lost whether the holder of an assignment is certainly gone
     */
    public static RangeTable reassign(RangeTable table, Predicate<RangeAssignment> lost, List<RangeOwner> owners) {
        if (owners.isEmpty()) {
            return table;
        }
        Map<DaemonId, Integer> keys = keyCounts(table, lost, owners);
        RangeTable split = splitLost(table, lost, owners.size());
        return split.replacing(assignment -> {
            if (!lost.test(assignment)) {
                return assignment;
            }
            RangeOwner next = owners.stream()
                    .min(Comparator.comparingInt((RangeOwner owner) -> keys.get(owner.daemon()))
                            .thenComparing(RangeOwner::daemon))
                    .orElseThrow();
            keys.merge(next.daemon(), assignment.range().size(), Integer::sum);
            return RangeAssignment.of(
                    assignment.range(), next.daemon(), next.life(), assignment.fence(), assignment.handoverToken());
        });
    }

    private static Map<DaemonId, Integer> keyCounts(
            RangeTable table, Predicate<RangeAssignment> lost, List<RangeOwner> owners) {
        Map<DaemonId, Integer> keys = new HashMap<>();
        owners.forEach(owner -> keys.put(owner.daemon(), 0));
        table.assignments().stream()
                .filter(lost.negate())
                .filter(assignment -> keys.containsKey(assignment.daemon()))
                .forEach(assignment ->
                        keys.merge(assignment.daemon(), assignment.range().size(), Integer::sum));
        return keys;
    }

    /** Cuts large lost assignments, so that several backend servers can share them. */
    private static RangeTable splitLost(RangeTable table, Predicate<RangeAssignment> lost, int owners) {
        int largest = Math.max(1, (KeyRange.MAX_KEY + 1) / (owners * 2));
        List<RangeAssignment> rows = new ArrayList<>();
        for (RangeAssignment assignment : table.assignments()) {
            if (!lost.test(assignment)) {
                rows.add(assignment);
                continue;
            }
            for (int from = assignment.from(); from <= assignment.to(); from += largest) {
                rows.add(assignment.within(new KeyRange(from, Math.min(assignment.to(), from + largest - 1))));
            }
        }
        return new RangeTable(table.service(), table.lastFence(), rows);
    }

    /**
     * Applies moves whose keys the former holder has given up.
     *
     * @param holds former holder's grants, which know the tokens of the released keys
     */
    public static RangeTable apply(RangeTable table, DaemonId self, List<RangeMove> moves, KeyHolds holds) {
        RangeTable result = table;
        for (RangeMove move : moves) {
            result = applyOne(result, self, move, holds);
        }
        return result;
    }

    private static RangeTable applyOne(RangeTable table, DaemonId self, RangeMove move, KeyHolds holds) {
        List<RangeAssignment> rows = new ArrayList<>();
        long fence = table.lastFence();
        for (RangeAssignment row : table.assignments()) {
            Optional<KeyRange> moved =
                    row.daemon().equals(self) ? KeyRanges.intersect(row.range(), move.range()) : Optional.empty();
            if (moved.isEmpty()) {
                rows.add(row);
                continue;
            }
            KeyRanges.subtract(row.range(), move.range()).forEach(rest -> rows.add(row.within(rest)));
            for (KeyRange part : holds.partsByToken(moved.get())) {
                fence++;
                rows.add(RangeAssignment.of(
                        part,
                        move.daemon(),
                        move.life(),
                        fence,
                        holds.handoverToken(part).orElse("")));
            }
        }
        return new RangeTable(table.service(), fence, merged(rows));
    }

    /** Joins neighbours that are the same grant. */
    private static List<RangeAssignment> merged(List<RangeAssignment> rows) {
        List<RangeAssignment> sorted = new ArrayList<>(rows);
        sorted.sort(Comparator.comparingInt(RangeAssignment::from));
        List<RangeAssignment> result = new ArrayList<>();
        for (RangeAssignment row : sorted) {
            if (!result.isEmpty()) {
                RangeAssignment last = result.get(result.size() - 1);
                KeyRange joined = new KeyRange(last.from(), row.to());
                if (last.to() + 1 == row.from() && last.within(joined).equals(row.within(joined))) {
                    result.set(result.size() - 1, last.within(joined));
                    continue;
                }
            }
            result.add(row);
        }
        return result;
    }

    /** Spreads all keys of a daemon over others, for a backend server that leaves. */
    public static List<RangeMove> evacuate(RangeTable table, DaemonId self, List<RangeOwner> others) {
        if (others.isEmpty()) {
            return List.of();
        }
        RangeTable planned = reassign(table, assignment -> assignment.daemon().equals(self), others);
        return planned.assignments().stream()
                .filter(row -> !table.assignments().contains(row))
                .map(row -> new RangeMove(row.range(), row.daemon(), row.life()))
                .toList();
    }

    /**
     * Finds keys that the busiest holder should give to the least busy one.
     *
     * @param self daemon that asks; a move is planned only for its own keys
     * @param loads requests per second of each holder; holders without a figure are left out
     * @param keyLoad requests per second of each key of this daemon
     */
    public static Optional<RangeMove> rebalance(
            RangeTable table, DaemonId self, List<RangeOwner> owners, Map<DaemonId, Double> loads, KeyLoad keyLoad) {
        List<RangeOwner> known = owners.stream()
                .filter(owner -> loads.containsKey(owner.daemon()))
                .toList();
        double own = loads.getOrDefault(self, 0.0);
        if (known.size() < 2 || own <= 0) {
            return Optional.empty();
        }
        double mean = known.stream()
                .mapToDouble(owner -> loads.get(owner.daemon()))
                .average()
                .orElse(0);
        RangeOwner least = known.stream()
                .min(Comparator.comparingDouble((RangeOwner owner) -> loads.get(owner.daemon()))
                        .thenComparing(RangeOwner::daemon))
                .orElseThrow();
        double gap = own - loads.get(least.daemon());
        boolean busiest = known.stream().allMatch(owner -> loads.get(owner.daemon()) <= own);
        if (!busiest || least.daemon().equals(self) || own < mean * (1 + IMBALANCE) || gap < mean * IMBALANCE) {
            return Optional.empty();
        }
        double wanted = Math.min(own - mean, gap / 2);
        return bestPart(table, self, wanted, keyLoad).map(range -> new RangeMove(range, least.daemon(), least.life()));
    }

    /** Finds the narrowest range of own keys whose load comes closest to the wanted one without exceeding it by half. */
    private static Optional<KeyRange> bestPart(RangeTable table, DaemonId self, double wanted, KeyLoad keyLoad) {
        Optional<KeyRange> best = Optional.empty();
        for (RangeAssignment row : table.of(self)) {
            Optional<KeyRange> part = keyLoad.narrowestWith(row.range(), wanted);
            if (part.isPresent()
                    && (best.isEmpty() || part.get().size() < best.get().size())) {
                best = part;
            }
        }
        return best;
    }
}
