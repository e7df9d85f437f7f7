package io.daisyhoist.core.admission;

import java.time.Duration;

/**
 * Expected run time of a request. Immutable.
 *
 * @param meanNanos mean run time; zero if unknown
 * @param ageNanos time since the last response from which it was learnt
 */
public record WorkEstimate(long meanNanos, long ageNanos) {
    /** Estimate of a kind of request of which no response is known. */
    public static final WorkEstimate UNKNOWN = new WorkEstimate(0, 0);

    /**
     * An estimate loses half of its value in each such period without a response. An estimate that is too high would
     * otherwise refuse all requests that could correct it.
     */
    private static final long HALVING_NANOS = Duration.ofSeconds(10).toNanos();

    private static final long MAX_HALVINGS = 20;

    /** Returns the run time to plan with; zero if nothing is known, so that a request is tried. */
    public long plannedNanos() {
        return meanNanos >> Math.min(MAX_HALVINGS, ageNanos / HALVING_NANOS);
    }
}
