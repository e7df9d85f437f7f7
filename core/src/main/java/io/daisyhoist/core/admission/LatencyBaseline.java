package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Arrays;

/**
 * Usual latency of a backend server, with which recent responses are compared. Confined to one thread.
 *
 * <p>The recent latency is the median of the last {@value #WINDOW} responses, so a single long request does not
 * indicate an overload. The baseline follows a lower median quickly and a higher median slowly; without the slow
 * increase, the limit would stay at its minimum after a permanent change of the workload.
 */
final class LatencyBaseline {
    static final int WINDOW = 9;
    private static final double FAST_FACTOR = 1.5;
    private static final double SLOW_FACTOR = 3;
    private static final double SPIKE_FACTOR = 5;
    // The 95th percentile is estimated by small multiplicative steps, without storing latencies.
    private static final double TAIL_PERCENTILE = 0.95;
    private static final double TAIL_STEP = 0.1;
    private static final double TAIL_FACTOR = 1.5;
    // A clearly lower median, as during a warm-up, is followed quickly. Under random fluctuations, the baseline
    // converges to a value below the usual median, near the 30th percentile.
    private static final double FAST_DECREASE_RATIO = 0.7;
    private static final double FAST_DECREASE_GAIN = 0.25;
    private static final double SLOW_DECREASE_FACTOR = 0.995;
    // A permanent increase of the latency to three times is accepted after about 370 responses, about 10 s at the cold
    // limit.
    private static final double SLOW_INCREASE_FACTOR = 1.003;

    private final double[] recentNanos = new double[WINDOW];
    private int count;
    private double baselineNanos;
    private double tailNanos;

    /** Creates a baseline from the usual latency; zero if unknown. */
    LatencyBaseline(Duration usual) {
        baselineNanos = usual.toNanos();
    }

    void add(Duration latency) {
        recentNanos[count % WINDOW] = Math.max(1, latency.toNanos());
        count++;
        updateTail(latency.toNanos());
        if (count < WINDOW && baselineNanos == 0) {
            return;
        }
        // The baseline must adapt even if the window is restarted repeatedly.
        double median = count < WINDOW ? Math.max(baselineNanos, latency.toNanos()) : median();
        if (baselineNanos == 0) {
            baselineNanos = median;
        } else if (median < FAST_DECREASE_RATIO * baselineNanos) {
            baselineNanos += FAST_DECREASE_GAIN * (median - baselineNanos);
        } else {
            baselineNanos = median < baselineNanos
                    ? Math.max(median, baselineNanos * SLOW_DECREASE_FACTOR)
                    : Math.min(median, baselineNanos * SLOW_INCREASE_FACTOR);
        }
    }

    private void updateTail(double nanos) {
        if (tailNanos == 0) {
            tailNanos = nanos;
        } else {
            tailNanos *= nanos > tailNanos ? 1 + TAIL_STEP * TAIL_PERCENTILE : 1 - TAIL_STEP * (1 - TAIL_PERCENTILE);
        }
    }

    /** Returns whether recent responses took more than three times the baseline. */
    boolean isSlow() {
        return isKnown() && median() > SLOW_FACTOR * baselineNanos;
    }

    /**
     * Returns whether recent responses took at most 1.5 times the baseline. The gap to the threshold of slow responses
     * prevents oscillation; the low threshold detects that a higher concurrency only makes all requests slower.
     */
    boolean isFast() {
        return isKnown() && median() <= FAST_FACTOR * baselineNanos;
    }

    /**
     * Returns whether a response took more than five times the baseline and clearly more than the tail latency. Without
     * the second condition, a workload in which one request in ten takes ten times as long would be taken for cold
     * starts.
     */
    boolean isSpike(Duration latency) {
        return baselineNanos > 0 && latency.toNanos() > Math.max(SPIKE_FACTOR * baselineNanos, TAIL_FACTOR * tailNanos);
    }

    /** Discards the recent responses but keeps the baseline. */
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
