package io.daisyhoist.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Deadline of a session's lease on the monotonic and the wall clock of its owner.
 *
 * <p>The lease is valid only while neither clock has passed its deadline, because the monotonic clock may stop while a
 * virtual machine is suspended. Immutable, so request threads can read it without locks.
 *
 * @param deadline end of the lease; empty if there is no lease
 */
public record LeaseSnapshot(Optional<Deadline> deadline) {
    public static final LeaseSnapshot NONE = new LeaseSnapshot(Optional.empty());

    /**
     * End of a lease.
     *
     * @param monotonicNanos monotonic reading at which the lease ends, in nanoseconds
     * @param wall wall-clock time at which the lease ends
     */
    public record Deadline(long monotonicNanos, Instant wall) {}

    public boolean isValid(TimeSource time) {
        return deadline.isPresent()
                && deadline.get().monotonicNanos() - time.monotonicNanos() > 0
                && time.wallTime().isBefore(deadline.get().wall());
    }

    /** Returns the smaller remaining time of the two clocks; zero or negative if the lease has expired. */
    public Duration remaining(TimeSource time) {
        if (deadline.isEmpty()) {
            return Duration.ZERO;
        }
        Duration monotonic = Duration.ofNanos(deadline.get().monotonicNanos() - time.monotonicNanos());
        Duration wall = Duration.between(time.wallTime(), deadline.get().wall());
        return monotonic.compareTo(wall) <= 0 ? monotonic : wall;
    }
}
