package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Assignments of the keys of one service to backend servers, as stored in the platform's key-value store.
 *
 * <p>Invariants: the assignments are sorted and do not overlap; {@code lastFence} is at least the fence of each. The
 * store is updated only by compare-and-swap of the whole table. Immutable.
 *
 * @param service the service
 * @param lastFence highest fencing token issued so far
 * @param assignments the assignments
 */
public record RangeTable(ServiceName service, long lastFence, List<RangeAssignment> assignments) {
    /** Sorts the assignments and checks that they do not overlap and that no fence exceeds the last one. */
    public RangeTable {
        Objects.requireNonNull(service, "service");
        List<RangeAssignment> sorted = new ArrayList<>(assignments);
        sorted.sort(Comparator.comparingInt(RangeAssignment::from));
        for (int i = 1; i < sorted.size(); i++) {
            if (sorted.get(i).from() <= sorted.get(i - 1).to()) {
                throw new IllegalArgumentException(
                        "overlapping assignments at key " + sorted.get(i).from());
            }
        }
        for (RangeAssignment assignment : sorted) {
            if (assignment.fence() > lastFence) {
                throw new IllegalArgumentException(
                        "fence " + assignment.fence() + " exceeds the last fence " + lastFence);
            }
        }
        assignments = List.copyOf(sorted);
    }

    public static RangeTable empty(ServiceName service) {
        return new RangeTable(service, 0, List.of());
    }

    /** Finds the assignment of a key. */
    public Optional<RangeAssignment> find(int key) {
        int low = 0;
        int high = assignments.size() - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            RangeAssignment candidate = assignments.get(middle);
            if (candidate.to() < key) {
                low = middle + 1;
            } else if (candidate.from() > key) {
                high = middle - 1;
            } else {
                return Optional.of(candidate);
            }
        }
        return Optional.empty();
    }

    /** Returns the assignments of a daemon, for any process of its backend server. */
    public List<RangeAssignment> assignmentsOf(DaemonId daemon) {
        return assignments.stream()
                .filter(assignment -> assignment.daemon().equals(daemon))
                .toList();
    }

    /** Returns a table with the operator applied to each assignment; each changed one gets a new fencing token. */
    public RangeTable mapAssignments(UnaryOperator<RangeAssignment> operator) {
        long fence = lastFence;
        List<RangeAssignment> newAssignments = new ArrayList<>();
        for (RangeAssignment old : assignments) {
            RangeAssignment replacement = operator.apply(old);
            if (replacement.equals(old)) {
                newAssignments.add(old);
                continue;
            }
            fence++;
            newAssignments.add(RangeAssignment.of(
                    replacement.range(),
                    replacement.daemon(),
                    replacement.process(),
                    fence,
                    replacement.handoverToken()));
        }
        return new RangeTable(service, fence, newAssignments);
    }
}
