package io.daisyhoist.core.admission;

import java.time.Duration;
import java.time.Instant;

import io.daisyhoist.core.time.TimeSource;

/** Time source controlled by the test. */
public final class ManualTime implements TimeSource {
    private long nanos = 1_000_000_000L;
    private Duration wallOffset = Duration.ofDays(20_000);

    /** Advances the monotonic and the wall clock. */
    public void advance(Duration step) {
        nanos += step.toNanos();
    }

    /** Steps only the wall clock, possibly backwards. */
    public void stepWallClock(Duration step) {
        wallOffset = wallOffset.plus(step);
    }

    @Override
    public long monotonicNanos() {
        return nanos;
    }

    @Override
    public Instant wallTime() {
        return Instant.EPOCH.plus(wallOffset).plusNanos(nanos);
    }
}
