package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Measures how fast one backend server works and which share of its requests it rejects by itself.
 *
 * <p>The rate is given per slot in use, so that it does not depend on the number of requests that arrive. Past requests
 * lose weight exponentially; an idle backend server keeps its last figures. Confined to one thread.
 */
public final class CompletionRate {
    /** Short, so that requests move away within about a second from a server that becomes slow. */
    private static final double TIME_CONSTANT_S = 1;

    /** Total weight below which the figures are unknown. */
    private static final double MIN_WEIGHT = 2;

    /** Weight that is kept when few requests arrive, so that single long requests do not decide the rate. */
    private static final double IDLE_WEIGHT = 20;

    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private double completed;
    private double runSeconds;
    private double answered;
    private double rejected;
    private long lastDecayNanos;

    public CompletionRate(TimeSource time) {
        this.time = time;
        this.lastDecayNanos = time.monotonicNanos();
    }

    /**
     * Records a request that the backend server has run.
     *
     * @param runTime time from sending the request to the end of the response
     */
    public void onCompleted(Duration runTime) {
        decay();
        completed++;
        answered++;
        runSeconds += Math.max(1, runTime.toNanos()) / NANOS_PER_SECOND;
    }

    /** Records a request that the backend server rejected without running it. */
    public void onRejected() {
        decay();
        rejected++;
    }

    /** Returns the completed requests per second and slot in use; zero if unknown. */
    public double perSlotSecond() {
        return completed < MIN_WEIGHT ? 0 : completed / runSeconds;
    }

    /** Returns the share of requests that the backend server rejected, from 0 to 1. */
    public double rejectedShare() {
        double total = answered + rejected;
        return total < MIN_WEIGHT ? 0 : rejected / total;
    }

    private void decay() {
        long now = time.monotonicNanos();
        double factor = Math.exp(-(now - lastDecayNanos) / NANOS_PER_SECOND / TIME_CONSTANT_S);
        lastDecayNanos = now;
        double runFactor = completed > IDLE_WEIGHT ? Math.max(factor, IDLE_WEIGHT / completed) : 1;
        completed *= runFactor;
        runSeconds *= runFactor;
        answered *= factor;
        rejected *= factor;
    }
}
