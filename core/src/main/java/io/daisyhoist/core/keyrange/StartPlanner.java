package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.DaemonId;

/**
 * Plans moves of unused keys to backend servers that registered after the first assignment of keys, which gave them none.
 *
 * <p>All daemons that know the same table plan moves that fit together: what those with too many keys give and those with
 * too few get is laid out in the order of the daemons. Stateless and deterministic.
 */
public final class StartPlanner {
    /** Share of its keys below which a backend server gets more; the rest is left to the moves by load. */
    private static final double MIN_FAIR_SHARE = 0.5;

    /** Smallest part of a planned move that is worth a move if other keys are in use. */
    private static final double MIN_IDLE_PART = 0.25;

    private StartPlanner() {}

    /**
     * Plans moves of keys of one daemon.
     *
     * @param self daemon that plans; moves are planned only for its own keys
     * @param slots number of requests that each owner runs concurrently, which determines its share
     * @param keyLoad load of the keys of this daemon
     */
    public static List<RangeMove> plan(
            RangeTable table, DaemonId self, List<RangeOwner> owners, Map<DaemonId, Integer> slots, KeyLoad keyLoad) {
        Map<DaemonId, Double> surplus = surplusKeys(table, owners, slots);
        double wanted = 0;
        double available = 0;
        double before = 0;
        List<RangeOwner> receivers = new ArrayList<>();
        List<RangeOwner> sorted = new ArrayList<>(owners);
        sorted.sort(Comparator.comparing(RangeOwner::daemon));
        for (RangeOwner owner : sorted) {
            double keys = surplus.get(owner.daemon());
            if (keys > 0) {
                before += owner.daemon().compareTo(self) < 0 ? keys : 0;
                available += keys;
            } else if (keys < 0) {
                receivers.add(owner);
                wanted -= keys;
            }
        }
        if (receivers.isEmpty() || surplus.getOrDefault(self, 0.0) <= 0) {
            return List.of();
        }
        double scale = wanted / available;
        double from = before * scale;
        double to = from + surplus.get(self) * scale;
        List<KeyRange> ownRanges = new ArrayList<>(
                table.assignmentsOf(self).stream().map(RangeAssignment::range).toList());
        List<RangeMove> moves = new ArrayList<>();
        double position = 0;
        for (RangeOwner receiver : receivers) {
            double end = position - surplus.get(receiver.daemon());
            int keys = (int) (Math.min(to, end) - Math.max(from, position));
            if (keys > 0) {
                removeIdle(ownRanges, keys, keyLoad)
                        .ifPresent(range -> moves.add(new RangeMove(range, receiver.daemon(), receiver.process())));
            }
            position = end;
        }
        return moves;
    }

    /**
     * Returns the keys of each owner above its share, or the negative number of keys that an owner below half of its share
     * lacks. The sum of what may be given is at least that of what is lacking.
     */
    private static Map<DaemonId, Double> surplusKeys(
            RangeTable table, List<RangeOwner> owners, Map<DaemonId, Integer> slots) {
        Map<DaemonId, Integer> keys = new HashMap<>();
        table.assignments()
                .forEach(assignment ->
                        keys.merge(assignment.daemon(), assignment.range().size(), Integer::sum));
        double totalKeys = owners.stream()
                .mapToInt(owner -> keys.getOrDefault(owner.daemon(), 0))
                .sum();
        double totalSlots = owners.stream()
                .mapToInt(owner -> slots.getOrDefault(owner.daemon(), 1))
                .sum();
        Map<DaemonId, Double> surplus = new HashMap<>();
        for (RangeOwner owner : owners) {
            double share = totalKeys * slots.getOrDefault(owner.daemon(), 1) / totalSlots;
            double difference = keys.getOrDefault(owner.daemon(), 0) - share;
            boolean balanced = difference <= 0 && difference >= -MIN_FAIR_SHARE * share;
            surplus.put(owner.daemon(), balanced ? 0 : difference);
        }
        return surplus;
    }

    private static Optional<KeyRange> removeIdle(List<KeyRange> ranges, int keys, KeyLoad keyLoad) {
        Optional<KeyRange> widest = ranges.stream()
                .flatMap(range -> keyLoad.widestIdleRange(range, keys).stream())
                .max(Comparator.comparingInt(KeyRange::size))
                .filter(range -> range.size() >= MIN_IDLE_PART * keys);
        widest.ifPresent(removed -> {
            List<KeyRange> rest = new ArrayList<>();
            ranges.forEach(range -> rest.addAll(KeyRanges.subtract(range, removed)));
            ranges.clear();
            ranges.addAll(rest);
        });
        return widest;
    }
}
