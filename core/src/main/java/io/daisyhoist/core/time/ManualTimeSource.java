package io.daisyhoist.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Time source that is advanced manually, for tests and simulations of code that embeds this library.
 *
 * <p>Confined to one thread.
 */
public final class ManualTimeSource implements TimeSource {
    private long monotonicNanos;
    private Instant wallTime = Instant.EPOCH;

    @Override
    public long monotonicNanos() {
        return monotonicNanos;
    }

    @Override
    public Instant wallTime() {
        return wallTime;
    }

    /** Advances both clocks. */
    public void advance(Duration duration) {
        monotonicNanos += duration.toNanos();
        wallTime = wallTime.plus(duration);
    }

    /** Advances only the wall clock, as observed after an instance was suspended. */
    public void suspend(Duration duration) {
        wallTime = wallTime.plus(duration);
    }
}
