package io.daisyhoist.core.time;

import java.time.Duration;

/**
 * Latest useful time of an operation, on the monotonic clock of this process. Immutable.
 *
 * @param atNanos monotonic reading at which it passes, in nanoseconds
 */
public record Deadline(long atNanos) {
    /** Returns the deadline that passes after the given time from now. */
    public static Deadline after(TimeSource time, Duration wait) {
        return new Deadline(time.monotonicNanos() + wait.toNanos());
    }

    /** Returns the time that remains, at least zero. */
    public Duration remaining(TimeSource time) {
        return Duration.ofNanos(Math.max(0, atNanos - time.monotonicNanos()));
    }

    /** Returns whether the deadline has passed. */
    public boolean hasPassed(TimeSource time) {
        return atNanos - time.monotonicNanos() <= 0;
    }
}
