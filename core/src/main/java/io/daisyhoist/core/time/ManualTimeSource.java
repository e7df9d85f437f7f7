package io.daisyhoist.core.time;

import java.time.Duration;
import java.time.Instant;

/**
 * A clock that moves only when it is told to, for tests and simulations of code that embeds this library.
 *
 * <p>Confined to one thread.
 */
public final class ManualTimeSource implements TimeSource {
    private long nanos;
    private Instant wall = Instant.EPOCH;

    @Override
    public long monotonicNanos() {
        return nanos;
    }

    @Override
    public Instant wallTime() {
        return wall;
    }

    /** Moves both clocks. */
    public void advance(Duration by) {
        nanos += by.toNanos();
        wall = wall.plus(by);
    }

    /** Moves the wall clock only, as a suspended instance sees it. */
    public void suspend(Duration by) {
        wall = wall.plus(by);
    }
}
