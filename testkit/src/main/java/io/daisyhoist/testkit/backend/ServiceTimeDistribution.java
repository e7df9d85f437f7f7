package io.daisyhoist.testkit.backend;

import java.util.random.RandomGenerator;

/** Lognormal service times with temporary slowdowns. Confined to one event loop. */
final class ServiceTimeDistribution {
    private final double medianMillis;
    private final double sigma;
    private final RandomGenerator random;
    private double slowFactor = 1;
    private long slowUntilNanos;

    ServiceTimeDistribution(double medianMillis, double sigma, RandomGenerator random) {
        this.medianMillis = medianMillis;
        this.sigma = sigma;
        this.random = random;
    }

    /** Multiplies the service times until the given time. */
    void slowDown(double factor, long untilNanos) {
        slowFactor = factor;
        slowUntilNanos = untilNanos;
    }

    /** Draws a service time in milliseconds, at least 1. */
    long sampleMillis(long nowNanos) {
        double sample = medianMillis * Math.exp(sigma * random.nextGaussian());
        double factor = nowNanos - slowUntilNanos < 0 ? slowFactor : 1;
        return Math.max(1, Math.round(sample * factor));
    }
}
