package io.daisyhoist.testkit.backend;

import java.util.random.RandomGenerator;

/** Lognormal service times with passing slow moments. Confined to one event loop. */
final class ServiceTime {
    private final double medianMillis;
    private final double spread;
    private final RandomGenerator random;
    private double slowFactor = 1;
    private long slowUntilNanos;

    ServiceTime(double medianMillis, double spread, RandomGenerator random) {
        this.medianMillis = medianMillis;
        this.spread = spread;
        this.random = random;
    }

    /** Multiplies the service times until the given time. */
    void slowDown(double factor, long untilNanos) {
        slowFactor = factor;
        slowUntilNanos = untilNanos;
    }

    /** Draws a service time in milliseconds, at least 1. */
    long sampleMillis(long nowNanos) {
        double sample = medianMillis * Math.exp(spread * random.nextGaussian());
        double factor = nowNanos - slowUntilNanos < 0 ? slowFactor : 1;
        return Math.max(1, Math.round(sample * factor));
    }
}
