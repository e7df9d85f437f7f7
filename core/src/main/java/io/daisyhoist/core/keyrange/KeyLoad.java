package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Recent load of each key of one backend server, measured in busy slots.
 *
 * <p>Weights decay exponentially with the time constant {@link #DECAY_TIME_CONSTANT_S}. Confined to one thread.
 */
public final class KeyLoad {
    /** Long enough for a stable estimate, short enough to detect a key that becomes hot. */
    private static final double DECAY_TIME_CONSTANT_S = 2.0;

    /** Weight below which a key counts as unused: a request of 0.1 s after about nine seconds. */
    private static final float IDLE_WEIGHT = 0.001f;

    private static final double MIN_OBSERVATION_S = 0.7;

    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private final float[] weights = new float[KeyRange.MAX_KEY + 1];
    private long lastDecayNanos;
    private Optional<Long> firstRequestNanos = Optional.empty();

    public KeyLoad(TimeSource time) {
        this.time = time;
        this.lastDecayNanos = time.monotonicNanos();
    }

    /**
     * Adds a request for a key.
     *
     * @param work expected service time of the request
     */
    public void onRequest(int key, Duration work) {
        if (firstRequestNanos.isEmpty()) {
            firstRequestNanos = Optional.of(time.monotonicNanos());
        }
        weights[key] += (float) (work.toNanos() / NANOS_PER_SECOND);
    }

    /** Decays all weights; to be called about once a second. */
    public void decay() {
        long now = time.monotonicNanos();
        float factor = (float) Math.exp(-(now - lastDecayNanos) / NANOS_PER_SECOND / DECAY_TIME_CONSTANT_S);
        lastDecayNanos = now;
        for (int key = 0; key < weights.length; key++) {
            weights[key] *= factor;
        }
    }

    /** Returns the number of slots kept busy by the keys of a range. */
    public double busySlots(KeyRange range) {
        double sum = 0;
        for (int key = range.from(); key <= range.to(); key++) {
            sum += weights[key];
        }
        return sum / observedSeconds();
    }

    /**
     * Returns the effective length of the observation. It is shorter than the time constant at first; the lower bound
     * keeps the first requests from being overestimated.
     */
    private double observedSeconds() {
        double ageS = firstRequestNanos
                .map(first -> (time.monotonicNanos() - first) / NANOS_PER_SECOND)
                .orElse(0.0);
        return DECAY_TIME_CONSTANT_S * (1 - Math.exp(-Math.max(ageS, MIN_OBSERVATION_S) / DECAY_TIME_CONSTANT_S));
    }

    /**
     * Finds the range with the fewest keys within another range that carries about the given load.
     *
     * @param busySlots target load; the result carries 0.5 to 1.5 times as much
     */
    public Optional<KeyRange> narrowestRangeWithLoad(KeyRange within, double busySlots) {
        double targetWeight = busySlots * observedSeconds();
        double maxWeight = targetWeight * 1.5;
        double sum = 0;
        int from = within.from();
        Optional<KeyRange> best = Optional.empty();
        for (int to = within.from(); to <= within.to(); to++) {
            sum += weights[to];
            while (sum > maxWeight && from < to) {
                sum -= weights[from];
                from++;
            }
            while (from < to && sum - weights[from] >= targetWeight) {
                sum -= weights[from];
                from++;
            }
            boolean fits = sum >= targetWeight / 2 && sum <= maxWeight;
            if (fits && (best.isEmpty() || to - from + 1 < best.get().size())) {
                best = Optional.of(new KeyRange(from, to));
            }
        }
        return best;
    }

    /** Finds the widest range of keys without recent requests within another range, from its end, of limited size. */
    public Optional<KeyRange> widestIdleRange(KeyRange within, int maxKeys) {
        Optional<KeyRange> widest = Optional.empty();
        int end = within.to();
        for (int key = within.to(); key >= within.from(); key--) {
            if (weights[key] >= IDLE_WEIGHT) {
                end = key - 1;
                continue;
            }
            int size = end - key + 1;
            if (widest.isEmpty() || size > widest.get().size()) {
                widest = Optional.of(new KeyRange(key, end));
            }
            if (size >= maxKeys) {
                return widest;
            }
        }
        return widest;
    }
}
