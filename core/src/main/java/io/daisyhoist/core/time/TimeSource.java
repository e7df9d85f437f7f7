package io.daisyhoist.core.time;

import java.time.Instant;

/**
 * Source of time for all decisions, passed in so that tests control it.
 *
 * <p>Implementations are thread-safe.
 */
public interface TimeSource {
    /** Returns a monotonic reading in nanoseconds; only differences are meaningful. */
    long monotonicNanos();

    /** Returns the wall-clock time. */
    Instant wallTime();
}
