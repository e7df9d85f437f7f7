package io.daisyhoist.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Deadline of a session's lease on both clocks of its owner.
 *
 * <p>Valid only while neither clock has passed its deadline, because the monotonic clock may stand still while a virtual
 * machine is suspended. Immutable, so traffic threads read it without locks.
 *
 * @param deadline where the lease ends; empty when there is no lease
 */
public record LeaseSnapshot(Optional<Deadline> deadline) {
    /** No lease. */
    public static final LeaseSnapshot NONE = new LeaseSnapshot(Optional.empty());

    /**
     * End of a lease.
     *
     * @param monotonicNanos monotonic reading at which the lease ends, in nanoseconds
     * @param wall wall-clock time at which the lease ends
     */
    public record Deadline(long monotonicNanos, Instant wall) {}

    /** Returns whether the lease is valid now. */
    public boolean isValid(TimeSource time) {
        return deadline.isPresent()
                && deadline.get().monotonicNanos() - time.monotonicNanos() > 0
                && time.wallTime().isBefore(deadline.get().wall());
    }

    /** Returns the time left on the clock that is closer to its deadline, negative or zero when the lease is over. */
    public Duration remaining(TimeSource time) {
        if (deadline.isEmpty()) {
            return Duration.ZERO;
        }
        Duration monotonic = Duration.ofNanos(deadline.get().monotonicNanos() - time.monotonicNanos());
        Duration wall = Duration.between(time.wallTime(), deadline.get().wall());
        return monotonic.compareTo(wall) <= 0 ? monotonic : wall;
    }
}
