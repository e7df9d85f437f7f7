package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Recent work for each key of one backend server, in slots that it keeps busy.
 *
 * <p>Counts decay exponentially with {@link #MEMORY_S}. Confined to one thread.
 */
public final class KeyLoad {
    /** Time over which the figures forget; long enough for a steady figure, short enough for a key that becomes hot. */
    private static final double MEMORY_S = 2.0;

    private static final double MIN_OBSERVED_S = 0.7;

    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final float[] weight = new float[KeyRange.MAX_KEY + 1];
    private long decayedNanos;
    private Optional<Long> firstNanos = Optional.empty();

    /** Creates counts of zero. */
    public KeyLoad(TimeSource time) {
        this.time = time;
        this.decayedNanos = time.monotonicNanos();
    }

    /** Counts a request for a key, with the time that such requests take. */
    public void onRequest(int key, Duration work) {
        if (firstNanos.isEmpty()) {
            firstNanos = Optional.of(time.monotonicNanos());
        }
        weight[key] += (float) (work.toNanos() / NANOS_PER_SECOND);
    }

    /** Ages all counts; to be called about once a second. */
    public void decay() {
        long now = time.monotonicNanos();
        float factor = (float) Math.exp(-(now - decayedNanos) / NANOS_PER_SECOND / MEMORY_S);
        decayedNanos = now;
        for (int key = 0; key < weight.length; key++) {
            weight[key] *= factor;
        }
    }

    /** Returns the slots that a range keeps busy. */
    public double busySlots(KeyRange range) {
        double sum = 0;
        for (int key = range.from(); key <= range.to(); key++) {
            sum += weight[key];
        }
        return sum / observedSeconds();
    }

    /** Counts that have just begun cover less time than the memory; a floor keeps the first requests from weighing much. */
    private double observedSeconds() {
        double ageS = firstNanos
                .map(first -> (time.monotonicNanos() - first) / NANOS_PER_SECOND)
                .orElse(0.0);
        return MEMORY_S * (1 - Math.exp(-Math.max(ageS, MIN_OBSERVED_S) / MEMORY_S));
    }

    /**
     * Finds the range with the fewest keys inside the given one that carries about the wanted load.
     *
     * @param wanted busy slots; the result carries between half of it and one and a half times it
     */
    public Optional<KeyRange> narrowestWith(KeyRange within, double wanted) {
        double target = wanted * observedSeconds();
        double most = target * 1.5;
        double sum = 0;
        int from = within.from();
        Optional<KeyRange> best = Optional.empty();
        for (int to = within.from(); to <= within.to(); to++) {
            sum += weight[to];
            while (sum > most && from < to) {
                sum -= weight[from];
                from++;
            }
            while (from < to && sum - weight[from] >= target) {
                sum -= weight[from];
                from++;
            }
            boolean fits = sum >= target / 2 && sum <= most;
            if (fits && (best.isEmpty() || to - from + 1 < best.get().size())) {
                best = Optional.of(new KeyRange(from, to));
            }
        }
        return best;
    }
}
