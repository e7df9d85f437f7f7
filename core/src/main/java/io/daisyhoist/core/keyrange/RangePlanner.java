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

/** Plans the assignment of keys to backend servers. Stateless and deterministic. */
public final class RangePlanner {
    /** Minimum surplus as a fraction of the share of the load, since each move interrupts service briefly. */
    private static final double MIN_RELATIVE_SURPLUS = 0.3;

    /** Minimum absolute surplus; less does not justify the interruption by a move. */
    private static final double MIN_SURPLUS_SLOTS = 0.6;

    private static final double MIN_MOVED_SLOTS = 0.2;

    /** Minimum utilization of a backend server that moves keys away; below it, requests rarely wait for a slot. */
    private static final double MIN_UTILIZATION = 0.5;

    private RangePlanner() {}

    /** Creates the first table of a service, with all keys divided evenly. */
    public static RangeTable initial(ServiceName service, List<RangeOwner> owners) {
        return initial(service, owners, Map.of());
    }

    /**
     * Creates the first table of a service, with all keys divided in proportion to the slots of the backend servers.
     *
     * @param slots number of requests that each owner runs concurrently; 1 if missing
     */
    public static RangeTable initial(ServiceName service, List<RangeOwner> owners, Map<DaemonId, Integer> slots) {
        List<RangeAssignment> newAssignments = new ArrayList<>();
        long keys = KeyRange.MAX_KEY + 1;
        long totalSlots = totalSlots(owners, slots);
        long slotsBefore = 0;
        for (RangeOwner owner : owners) {
            long slotsAfter = slotsBefore + slotsOf(owner, slots);
            int from = (int) (keys * slotsBefore / totalSlots);
            int to = (int) (keys * slotsAfter / totalSlots) - 1;
            // The share of a small owner among very large ones may be less than one key.
            if (from <= to) {
                newAssignments.add(RangeAssignment.of(new KeyRange(from, to), owner.daemon(), owner.process(), 1, ""));
            }
            slotsBefore = slotsAfter;
        }
        return new RangeTable(service, 1, newAssignments);
    }

    private static int slotsOf(RangeOwner owner, Map<DaemonId, Integer> slots) {
        return slots.getOrDefault(owner.daemon(), 1);
    }

    private static int totalSlots(List<RangeOwner> owners, Map<DaemonId, Integer> slots) {
        return owners.stream().mapToInt(owner -> slotsOf(owner, slots)).sum();
    }

    /**
     * Reassigns the ranges of lost backend servers, each to the remaining backend server with the fewest keys so far.
     *
     * @param lost whether the holder of an assignment is known to have ended
     */
    public static RangeTable reassign(RangeTable table, Predicate<RangeAssignment> lost, List<RangeOwner> owners) {
        if (owners.isEmpty()) {
            return table;
        }
        Map<DaemonId, Integer> keys = keyCountsByDaemon(table, lost, owners);
        RangeTable split = splitLost(table, lost, owners.size());
        return split.mapAssignments(assignment -> {
            if (!lost.test(assignment)) {
                return assignment;
            }
            RangeOwner next = owners.stream()
                    .min(Comparator.comparingInt((RangeOwner owner) -> keys.get(owner.daemon()))
                            .thenComparing(RangeOwner::daemon))
                    .orElseThrow();
            keys.merge(next.daemon(), assignment.range().size(), Integer::sum);
            return RangeAssignment.of(
                    assignment.range(), next.daemon(), next.process(), assignment.fence(), assignment.handoverToken());
        });
    }

    private static Map<DaemonId, Integer> keyCountsByDaemon(
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

    /** Splits large lost assignments so that they can be spread over several backend servers. */
    private static RangeTable splitLost(RangeTable table, Predicate<RangeAssignment> lost, int owners) {
        int keys = table.assignments().stream()
                .filter(lost)
                .mapToInt(assignment -> assignment.range().size())
                .sum();
        int maxKeysPerPart = Math.max(1, (keys + owners - 1) / owners);
        List<RangeAssignment> newAssignments = new ArrayList<>();
        for (RangeAssignment assignment : table.assignments()) {
            if (!lost.test(assignment)) {
                newAssignments.add(assignment);
                continue;
            }
            for (int from = assignment.from(); from <= assignment.to(); from += maxKeysPerPart) {
                newAssignments.add(
                        assignment.within(new KeyRange(from, Math.min(assignment.to(), from + maxKeysPerPart - 1))));
            }
        }
        return new RangeTable(table.service(), table.lastFence(), newAssignments);
    }

    /**
     * Applies moves whose keys the previous holder has released.
     *
     * @param leases key leases of the previous holder, with the handover tokens of the released keys
     */
    public static RangeTable apply(RangeTable table, DaemonId self, List<RangeMove> moves, KeyLeases leases) {
        RangeTable result = table;
        for (RangeMove move : moves) {
            result = applyMove(result, self, move, leases);
        }
        return result;
    }

    private static RangeTable applyMove(RangeTable table, DaemonId self, RangeMove move, KeyLeases leases) {
        List<RangeAssignment> newAssignments = new ArrayList<>();
        long fence = table.lastFence();
        for (RangeAssignment assignment : table.assignments()) {
            Optional<KeyRange> moved = assignment.daemon().equals(self)
                    ? KeyRanges.intersect(assignment.range(), move.range())
                    : Optional.empty();
            if (moved.isEmpty()) {
                newAssignments.add(assignment);
                continue;
            }
            KeyRanges.subtract(assignment.range(), move.range())
                    .forEach(rest -> newAssignments.add(assignment.within(rest)));
            for (KeyRange part : leases.splitByHandoverToken(moved.get())) {
                fence++;
                newAssignments.add(RangeAssignment.of(
                        part,
                        move.daemon(),
                        move.process(),
                        fence,
                        leases.handoverToken(part).orElse("")));
            }
        }
        return new RangeTable(table.service(), fence, mergeAdjacent(newAssignments));
    }

    /** Merges adjacent ranges that belong to the same grant. */
    static List<RangeAssignment> mergeAdjacent(List<RangeAssignment> assignments) {
        List<RangeAssignment> sorted = new ArrayList<>(assignments);
        sorted.sort(Comparator.comparingInt(RangeAssignment::from));
        List<RangeAssignment> result = new ArrayList<>();
        for (RangeAssignment assignment : sorted) {
            if (!result.isEmpty()) {
                RangeAssignment last = result.get(result.size() - 1);
                KeyRange joined = new KeyRange(last.from(), assignment.to());
                if (last.to() + 1 == assignment.from() && last.within(joined).equals(assignment.within(joined))) {
                    result.set(result.size() - 1, last.within(joined));
                    continue;
                }
            }
            result.add(assignment);
        }
        return result;
    }

    /** Issues new fencing tokens for assignments whose keys may have been held under higher ones since. */
    public static RangeTable renewFences(RangeTable table, Predicate<RangeAssignment> outdated) {
        long fence = table.lastFence();
        List<RangeAssignment> newAssignments = new ArrayList<>();
        for (RangeAssignment assignment : table.assignments()) {
            boolean renewed = outdated.test(assignment);
            fence += renewed ? 1 : 0;
            newAssignments.add(
                    renewed
                            ? RangeAssignment.of(
                                    assignment.range(),
                                    assignment.daemon(),
                                    assignment.process(),
                                    fence,
                                    assignment.handoverToken())
                            : assignment);
        }
        return new RangeTable(table.service(), fence, newAssignments);
    }

    /** Plans moves of all keys of a daemon to others, for a backend server that is draining. */
    public static List<RangeMove> evacuate(RangeTable table, DaemonId self, List<RangeOwner> others) {
        if (others.isEmpty()) {
            return List.of();
        }
        RangeTable planned = reassign(table, assignment -> assignment.daemon().equals(self), others);
        return planned.assignments().stream()
                .filter(assignment -> !table.assignments().contains(assignment))
                .map(assignment -> new RangeMove(assignment.range(), assignment.daemon(), assignment.process()))
                .toList();
    }

    /**
     * Plans moves of keys from an overloaded backend server to less loaded ones.
     *
     * <p>Each backend server above its share of the load, which is in proportion to its slots, moves part of its surplus
     * away. The deficit of a backend server below its share is divided among those above it in proportion to their surplus, so that their moves together do not
     * overload it.
     *
     * @param self daemon that plans; moves are planned only for its own keys
     * @param slots number of requests that each owner runs concurrently; 1 if missing
     * @param loads busy slots of each owner; owners without a value are ignored
     * @param keyLoad load of the keys of this daemon
     */
    public static List<RangeMove> rebalance(
            RangeTable table,
            DaemonId self,
            Map<DaemonId, Integer> slots,
            List<RangeOwner> owners,
            Map<DaemonId, Double> loads,
            KeyLoad keyLoad) {
        if (loads.getOrDefault(self, 0.0) < MIN_UTILIZATION * slots.getOrDefault(self, 1)) {
            return List.of();
        }
        List<RangeOwner> ownersWithLoad = owners.stream()
                .filter(owner -> loads.containsKey(owner.daemon()))
                .toList();
        double loadPerSlot = ownersWithLoad.stream()
                        .mapToDouble(owner -> loads.get(owner.daemon()))
                        .sum()
                / Math.max(1, totalSlots(ownersWithLoad, slots));
        double share = loadPerSlot * slots.getOrDefault(self, 1);
        double surplus = loads.getOrDefault(self, 0.0) - share;
        if (ownersWithLoad.size() < 2 || surplus < Math.max(MIN_SURPLUS_SLOTS, share * MIN_RELATIVE_SURPLUS)) {
            return List.of();
        }
        double totalSurplus = ownersWithLoad.stream()
                .mapToDouble(owner -> Math.max(0, loads.get(owner.daemon()) - loadPerSlot * slotsOf(owner, slots)))
                .sum();
        List<KeyRange> ownRanges = new ArrayList<>(
                table.assignmentsOf(self).stream().map(RangeAssignment::range).toList());
        List<RangeMove> moves = new ArrayList<>();
        ownersWithLoad.stream()
                .filter(owner -> !owner.daemon().equals(self))
                .sorted(Comparator.comparingDouble((RangeOwner owner) -> loads.get(owner.daemon()))
                        .thenComparing(RangeOwner::daemon))
                .forEach(owner -> {
                    double deficit = loadPerSlot * slotsOf(owner, slots) - loads.get(owner.daemon());
                    double targetLoad = deficit * surplus / totalSurplus;
                    if (targetLoad >= MIN_MOVED_SLOTS) {
                        removeNarrowestRange(ownRanges, targetLoad, keyLoad)
                                .ifPresent(range -> moves.add(new RangeMove(range, owner.daemon(), owner.process())));
                    }
                });
        return moves;
    }

    /** Removes the narrowest range with about the target load from a list of ranges. */
    private static Optional<KeyRange> removeNarrowestRange(List<KeyRange> ranges, double targetLoad, KeyLoad keyLoad) {
        Optional<KeyRange> best = Optional.empty();
        for (KeyRange range : ranges) {
            Optional<KeyRange> part = keyLoad.narrowestRangeWithLoad(range, targetLoad);
            if (part.isPresent()
                    && (best.isEmpty() || part.get().size() < best.get().size())) {
                best = part;
            }
        }
        best.ifPresent(removed -> {
            List<KeyRange> rest = new ArrayList<>();
            ranges.forEach(range -> rest.addAll(KeyRanges.subtract(range, removed)));
            ranges.clear();
            ranges.addAll(rest);
        });
        return best;
    }
}
