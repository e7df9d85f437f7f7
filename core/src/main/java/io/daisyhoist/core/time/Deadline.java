package io.daisyhoist.core.time;

import java.time.Duration;

/**
 * Deadline of an operation on the monotonic clock of this process. Immutable.
 *
 * @param atNanos monotonic time of the deadline, in nanoseconds
 */
public record Deadline(long atNanos) {
    /** Returns a deadline that passes when the given timeout has elapsed. */
    public static Deadline after(TimeSource time, Duration timeout) {
        return new Deadline(time.monotonicNanos() + timeout.toNanos());
    }

    /** Returns the remaining time; zero after the deadline has passed. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, atNanos - time.monotonicNanos()));
    }

    /** Returns whether this deadline passes before another one of the same process. */
    public boolean isBefore(Deadline other) {
        return atNanos - other.atNanos < 0;
    }

    public boolean hasPassed(TimeSource time) {
        return atNanos - time.monotonicNanos() <= 0;
    }
}
