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
    private static final double IMBALANCE = 0.3;

    /** Smaller surpluses are not worth a move. */
    private static final double MIN_SURPLUS_SLOTS = 0.6;

    private static final double MIN_MOVED_SLOTS = 0.2;

    /** Part of its slots that a holder must have busy to give keys away; below it hardly a request waits for a slot. */
    private static final double BUSY_SHARE = 0.5;

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
        int keys = table.assignments().stream()
                .filter(lost)
                .mapToInt(assignment -> assignment.range().size())
                .sum();
        int largest = Math.max(1, (keys + owners - 1) / owners);
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
     * Finds keys that a busy holder should give to less busy ones.
     *
     * <p>Each holder with more than the mean gives of its surplus; what a holder with less lacks is shared among the
     * givers in proportion to their surplus, so that several of them together do not overload it.
     *
     * @param self daemon that asks; moves are planned only for its own keys
     * @param slots requests that its backend server runs at once
     * @param loads busy slots of each holder; holders without a figure are left out
     * @param keyLoad work for the keys of this daemon
     */
    public static List<RangeMove> rebalance(
            RangeTable table,
            DaemonId self,
            int slots,
            List<RangeOwner> owners,
            Map<DaemonId, Double> loads,
            KeyLoad keyLoad) {
        if (loads.getOrDefault(self, 0.0) < BUSY_SHARE * slots) {
            return List.of();
        }
        List<RangeOwner> known = owners.stream()
                .filter(owner -> loads.containsKey(owner.daemon()))
                .toList();
        double mean = known.stream()
                .mapToDouble(owner -> loads.get(owner.daemon()))
                .average()
                .orElse(0);
        double surplus = loads.getOrDefault(self, 0.0) - mean;
        if (known.size() < 2 || surplus < Math.max(MIN_SURPLUS_SLOTS, mean * IMBALANCE)) {
            return List.of();
        }
        double allSurplus = known.stream()
                .mapToDouble(owner -> Math.max(0, loads.get(owner.daemon()) - mean))
                .sum();
        List<KeyRange> own = new ArrayList<>(
                table.of(self).stream().map(RangeAssignment::range).toList());
        List<RangeMove> moves = new ArrayList<>();
        known.stream()
                .filter(owner -> !owner.daemon().equals(self))
                .sorted(Comparator.comparingDouble((RangeOwner owner) -> loads.get(owner.daemon()))
                        .thenComparing(RangeOwner::daemon))
                .forEach(owner -> {
                    double wanted = (mean - loads.get(owner.daemon())) * surplus / allSurplus;
                    if (wanted >= MIN_MOVED_SLOTS) {
                        takePart(own, wanted, keyLoad)
                                .ifPresent(range -> moves.add(new RangeMove(range, owner.daemon(), owner.life())));
                    }
                });
        return moves;
    }

    /** Takes the narrowest range with about the wanted load out of a list of ranges. */
    private static Optional<KeyRange> takePart(List<KeyRange> ranges, double wanted, KeyLoad keyLoad) {
        Optional<KeyRange> best = Optional.empty();
        for (KeyRange range : ranges) {
            Optional<KeyRange> part = keyLoad.narrowestWith(range, wanted);
            if (part.isPresent()
                    && (best.isEmpty() || part.get().size() < best.get().size())) {
                best = part;
            }
        }
        best.ifPresent(taken -> {
            List<KeyRange> rest = new ArrayList<>();
            ranges.forEach(range -> rest.addAll(KeyRanges.subtract(range, taken)));
            ranges.clear();
            ranges.addAll(rest);
        });
        return best;
    }
}
