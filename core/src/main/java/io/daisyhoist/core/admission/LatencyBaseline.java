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
    static final int WINDOW = 5;
    private static final double FAST_FACTOR = 2;
    private static final double SLOW_FACTOR = 3;
    private static final double JUMP_FACTOR = 5;
    private static final double DOWN_GAIN = 0.25;
    // A lasting threefold latency is accepted as usual after about 110 responses.
    private static final double UP_GROWTH = 1.01;

    private final double[] recentNanos = new double[WINDOW];
    private int count;
    private double baselineNanos;

    void add(Duration latency) {
        recentNanos[count % WINDOW] = Math.max(1, latency.toNanos());
        count++;
        if (count < WINDOW && baselineNanos == 0) {
            return;
        }
        // A window that is restarted again and again must not keep the baseline from following.
        double median = count < WINDOW ? Math.max(baselineNanos, latency.toNanos()) : median();
        if (baselineNanos == 0) {
            baselineNanos = median;
        } else if (median < baselineNanos) {
            baselineNanos += DOWN_GAIN * (median - baselineNanos);
        } else {
            baselineNanos = Math.min(median, baselineNanos * UP_GROWTH);
        }
    }

    /** Returns whether recent responses took more than three times the baseline. */
    boolean isSlow() {
        return isKnown() && median() > SLOW_FACTOR * baselineNanos;
    }

    /** Returns whether one response took at most twice the baseline; the gap to three times prevents oscillation. */
    boolean isFast(Duration latency) {
        return latency.toNanos() <= FAST_FACTOR * baselineNanos || baselineNanos == 0;
    }

    /** Returns whether one response took more than five times the baseline. */
    boolean isJump(Duration latency) {
        return latency.toNanos() > JUMP_FACTOR * baselineNanos && baselineNanos > 0;
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
