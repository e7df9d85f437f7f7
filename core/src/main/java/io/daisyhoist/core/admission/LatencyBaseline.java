package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Arrays;

/**
 * Usual latency of a backend server, against which recent responses are judged. Confined to one thread.
 *
 * <p>The recent latency is the median of the last {@value #WINDOW} responses, so that one long request is not taken for
 * an overload. The baseline follows a lower median quickly and a higher one slowly: after a lasting change of the
 * workload the limit would otherwise stay at its minimum for ever.
 */
final class LatencyBaseline {
    static final int WINDOW = 9;
    private static final double FAST_FACTOR = 1.5;
    private static final double SLOW_FACTOR = 3;
    private static final double JUMP_FACTOR = 5;
    // Estimates the 95th percentile by small multiplicative steps, without storing latencies.
    private static final double HIGH_PERCENTILE = 0.95;
    private static final double HIGH_STEP = 0.1;
    private static final double HIGH_FACTOR = 1.5;
    // A clearly lower median, as while a server warms up, is followed at once; within the noise the baseline settles
    // below the usual median, near its 30th percentile.
    private static final double CLEARLY_LOWER = 0.7;
    private static final double DOWN_GAIN = 0.25;
    private static final double DOWN_STEP = 0.995;
    // A lasting threefold latency is accepted as usual after about 370 responses, some 10 s at the cold limit.
    private static final double UP_STEP = 1.003;

    private final double[] recentNanos = new double[WINDOW];
    private int count;
    private double baselineNanos;
    private double highNanos;

    /** Creates a baseline from the usual latency; zero when it is not known. */
    LatencyBaseline(Duration usual) {
        baselineNanos = usual.toNanos();
    }

    void add(Duration latency) {
        recentNanos[count % WINDOW] = Math.max(1, latency.toNanos());
        count++;
        followHigh(latency.toNanos());
        if (count < WINDOW && baselineNanos == 0) {
            return;
        }
        // A window that is restarted again and again must not keep the baseline from following.
        double median = count < WINDOW ? Math.max(baselineNanos, latency.toNanos()) : median();
        if (baselineNanos == 0) {
            baselineNanos = median;
        } else if (median < CLEARLY_LOWER * baselineNanos) {
            baselineNanos += DOWN_GAIN * (median - baselineNanos);
        } else {
            baselineNanos = median < baselineNanos
                    ? Math.max(median, baselineNanos * DOWN_STEP)
                    : Math.min(median, baselineNanos * UP_STEP);
        }
    }

    private void followHigh(double nanos) {
        if (highNanos == 0) {
            highNanos = nanos;
        } else {
            highNanos *= nanos > highNanos ? 1 + HIGH_STEP * HIGH_PERCENTILE : 1 - HIGH_STEP * (1 - HIGH_PERCENTILE);
        }
    }

    /** Returns whether recent responses took more than three times the baseline. */
    boolean isSlow() {
        return isKnown() && median() > SLOW_FACTOR * baselineNanos;
    }

    /**
     * Returns whether recent responses took at most 1.5 times the baseline. The gap to three times prevents oscillation;
     * the narrow bound notices that a further request at once only makes the others slower.
     */
    boolean isFast() {
        return isKnown() && median() <= FAST_FACTOR * baselineNanos;
    }

    /**
     * Returns whether one response took more than five times the baseline and is beyond what long requests usually take;
     * otherwise a workload with one request in ten that takes ten times as long would look like cold starts.
     */
    boolean isJump(Duration latency) {
        return baselineNanos > 0 && latency.toNanos() > Math.max(JUMP_FACTOR * baselineNanos, HIGH_FACTOR * highNanos);
    }

    /** Forgets the recent responses but keeps the baseline. */
    void restartWindow() {
        count = 0;
    }

    private boolean isKnown() {
        return baselineNanos > 0 && count >= WINDOW;
    }

    private double median() {
        double[] sorted = recentNanos.clone();
        Arrays.sort(sorted);
        return sorted[WINDOW / 2];
    }
}
