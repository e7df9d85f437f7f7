package io.daisyhoist.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures a conservative upper estimate of the time elapsed since a point in time.
 *
 * <p>The monotonic clock may stop while a virtual machine is suspended, so the elapsed time is the larger of the
 * monotonic and the wall-clock difference. A wall clock that is set back never makes it smaller than the monotonic
 * difference. Immutable.
 *
 * @param startNanos monotonic time at the start, in nanoseconds
 * @param startWall wall-clock time at the start
 */
public record ElapsedTimer(long startNanos, Instant startWall) {
    /** Starts measuring now. */
    public static ElapsedTimer start(TimeSource time) {
        return new ElapsedTimer(time.monotonicNanos(), time.wallTime());
    }

    /** Returns the time elapsed since the start. */
    public Duration elapsed(TimeSource time) {
        Duration monotonic = Duration.ofNanos(time.monotonicNanos() - startNanos);
        Duration wall = Duration.between(startWall, time.wallTime());
        return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
    }
}
