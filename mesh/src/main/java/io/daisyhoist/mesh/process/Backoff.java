package io.daisyhoist.mesh.process;

import java.time.Duration;

/** Delays between attempts that double up to a maximum. Confined to one thread. */
final class Backoff {
    private final Duration initial;
    private final Duration max;
    private Duration next;

    Backoff(Duration initial, Duration max) {
        this.initial = initial;
        this.max = max;
        this.next = initial;
    }

    /** Returns the delay before the next attempt. */
    Duration nextDelay() {
        Duration delay = next;
        Duration doubled = delay.multipliedBy(2);
        next = doubled.compareTo(max) < 0 ? doubled : max;
        return delay;
    }

    /** Starts again with the initial delay after a successful attempt. */
    void reset() {
        next = initial;
    }
}
