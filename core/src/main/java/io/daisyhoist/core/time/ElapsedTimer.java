package io.daisyhoist.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * A point in time from which elapsed time is measured pessimistically.
 *
 * <p>The monotonic clock may stand still while a virtual machine is suspended, so the elapsed time is the larger of the
 * monotonic and the wall-clock difference. A wall clock set backwards never makes it smaller than the monotonic
 * difference. Immutable.
 *
 * @param startNanos monotonic reading at the start, in nanoseconds
 * @param startWall wall-clock time at the start
 */
public record ElapsedTimer(long startNanos, Instant startWall) {
    /** Starts measuring now. */
    public static ElapsedTimer start(TimeSource time) {
        return new ElapsedTimer(time.monotonicNanos(), time.wallTime());
    }

    /** Returns the time since the start. */
    public Duration elapsed(TimeSource time) {
        Duration monotonic = Duration.ofNanos(time.monotonicNanos() - startNanos);
        Duration wall = Duration.between(startWall, time.wallTime());
        return monotonic.compareTo(wall) >= 0 ? monotonic : wall;
    }
}
