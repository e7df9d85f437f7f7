package io.daisyhoist.core.time;

import java.time.Instant;

/**
 * Source of time for all decisions, injected so that tests can control it.
 *
 * <p>Implementations are thread-safe.
 */
public interface TimeSource {
    /** Returns the monotonic time in nanoseconds; only differences are meaningful. */
    long monotonicNanos();

    /** Returns the wall-clock time. */
    Instant wallTime();
}
