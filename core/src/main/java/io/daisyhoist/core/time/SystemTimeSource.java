package io.daisyhoist.core.time;

import java.time.Instant;

/** Time source that reads the system clocks. Stateless and thread-safe. */
public final class SystemTimeSource implements TimeSource {
    @Override
    public long monotonicNanos() {
        return System.nanoTime();
    }

    @Override
    public Instant wallTime() {
        return Instant.now();
    }
}
