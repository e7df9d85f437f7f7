package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * How long work takes at a backend server relative to the usual, as its latest answer said. Confined to one thread.
 */
final class Slowdown {
    /** Neighbours on an instance come and go within a fraction of a second. */
    private static final Duration VALIDITY = Duration.ofMillis(300);

    /** From this factor on, another backend server is worth the round trip to ask it. */
    private static final double SLOW = 1.8;

    private static final double USUAL = 1;

    private final TimeSource time;
    private double reported = USUAL;
    private long reportedNanos;

    Slowdown(TimeSource time) {
        this.time = time;
        this.reportedNanos = time.monotonicNanos();
    }

    /** Takes a figure that came with an answer. */
    void onReport(double factor) {
        reported = factor;
        reportedNanos = time.monotonicNanos();
    }

    /** Returns the factor; the usual one if no recent figure is known. */
    double factor() {
        boolean recent = time.monotonicNanos() - reportedNanos < VALIDITY.toNanos();
        return recent ? reported : USUAL;
    }

    /** Returns whether work is known to take much longer than usual at this moment. */
    boolean isSlowNow() {
        return factor() >= SLOW;
    }
}
