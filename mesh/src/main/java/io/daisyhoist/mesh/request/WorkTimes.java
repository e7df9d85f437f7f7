package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Mean time that requests of each priority take at one backend server. Confined to one thread. */
final class WorkTimes {
    private static final double GAIN = 0.05;
    private static final double MUCH_SHORTER = 0.5;
    private static final Duration UNKNOWN = Duration.ofMillis(100);

    private final Map<Integer, Double> meanNanos = new HashMap<>();

    /** Returns whether requests of a priority take less than half as long as those of another, both having been seen. */
    boolean areMuchShorter(int priority, int other) {
        Double mean = meanNanos.get(priority);
        Double otherMean = meanNanos.get(other);
        return mean != null && otherMean != null && mean < MUCH_SHORTER * otherMean;
    }

    /** Learns how long a request took. */
    void onEnd(int priority, Duration took) {
        double mean = meanNanos.getOrDefault(priority, (double) took.toNanos());
        meanNanos.put(priority, mean + GAIN * (took.toNanos() - mean));
    }

    /** Returns how long a request is expected to take. */
    Duration expected(int priority) {
        Double mean = meanNanos.get(priority);
        return mean == null ? UNKNOWN : Duration.ofNanos(mean.longValue());
    }
}
