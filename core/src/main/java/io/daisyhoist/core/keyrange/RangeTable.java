package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.UnaryOperator;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Which backend server may hold which keys of one service, as kept in the store.
 *
 * <p>Invariants: the assignments are sorted and do not overlap; {@code lastFence} is at least the fence of each. It
 * changes only by compare-and-swap of the whole table. Immutable.
 *
 * @param service the service
 * @param lastFence highest fencing token given out so far
 * @param assignments the assignments
 */
public record RangeTable(ServiceName service, long lastFence, List<RangeAssignment> assignments) {
    /** Sorts and checks the assignments. */
    public RangeTable {
        List<RangeAssignment> sorted = new ArrayList<>(assignments);
        sorted.sort(Comparator.comparingInt(RangeAssignment::from));
        for (int i = 1; i < sorted.size(); i++) {
            if (sorted.get(i).from() <= sorted.get(i - 1).to()) {
                throw new IllegalArgumentException(
                        "overlapping assignments at key " + sorted.get(i).from());
            }
        }
        assignments = List.copyOf(sorted);
    }

    /** Returns a table without assignments. */
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

    /** Returns the assignments of a daemon, whichever process of its backend server they name. */
    public List<RangeAssignment> of(DaemonId daemon) {
        return assignments.stream()
                .filter(assignment -> assignment.daemon().equals(daemon))
                .toList();
    }

    /** Returns a table in which each assignment that is not kept as it is has been replaced, under new tokens. */
    public RangeTable replacing(UnaryOperator<RangeAssignment> change) {
        long fence = lastFence;
        List<RangeAssignment> changed = new ArrayList<>();
        for (RangeAssignment old : assignments) {
            RangeAssignment next = change.apply(old);
            if (next.equals(old)) {
                changed.add(old);
                continue;
            }
            fence++;
            changed.add(RangeAssignment.of(next.range(), next.daemon(), next.life(), fence, next.handoverToken()));
        }
        return new RangeTable(service, fence, changed);
    }
}
