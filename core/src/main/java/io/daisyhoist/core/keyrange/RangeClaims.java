package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.List;

/**
 * Assignments under which a daemon grants keys although the store may have lost them. Immutable.
 *
 * @param assignments assignments of one daemon, which do not overlap
 * @param lastFence highest fencing token that the daemon knows
 */
public record RangeClaims(List<RangeAssignment> assignments, long lastFence) {
    /** Claims of a daemon that grants no keys. */
    public static final RangeClaims NONE = new RangeClaims(List.of(), 0);

    /** Creates claims with a copy of the list. */
    public RangeClaims {
        assignments = List.copyOf(assignments);
    }

    /** Returns whether nothing is claimed. */
    public boolean isEmpty() {
        return assignments.isEmpty();
    }

    /** Returns whether a table contains all claims with their fencing tokens. */
    public boolean areIn(RangeTable table) {
        return assignments.stream().allMatch(claim -> isCovered(claim, table.assignments()));
    }

    /** Returns whether all keys of an assignment are claimed under its fencing token. */
    public boolean contain(RangeAssignment assignment) {
        return isCovered(assignment, assignments);
    }

    private static boolean isCovered(RangeAssignment covered, List<RangeAssignment> others) {
        int keys = 0;
        for (RangeAssignment other : others) {
            int from = Math.max(covered.from(), other.from());
            int to = Math.min(covered.to(), other.to());
            if (from > to) {
                continue;
            }
            KeyRange part = new KeyRange(from, to);
            if (!covered.within(part).equals(other.within(part))) {
                return false;
            }
            keys += part.size();
        }
        return keys == covered.range().size();
    }

    /** Returns the table with the claims in place of its assignments of the same keys. */
    public RangeTable applyTo(RangeTable table) {
        List<RangeAssignment> result = new ArrayList<>(assignments);
        for (RangeAssignment assignment : table.assignments()) {
            List<KeyRange> rest = List.of(assignment.range());
            for (RangeAssignment claim : assignments) {
                List<KeyRange> next = new ArrayList<>();
                rest.forEach(part -> next.addAll(KeyRanges.subtract(part, claim.range())));
                rest = next;
            }
            rest.forEach(part -> result.add(assignment.within(part)));
        }
        return new RangeTable(
                table.service(), Math.max(table.lastFence(), lastFence), RangePlanner.mergeAdjacent(result));
    }
}
