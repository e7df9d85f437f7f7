package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;

/** Estimates the mean service time of requests of each rank at one backend server. Confined to one thread. */
final class ServiceTimeEstimator {
    private static final double SMOOTHING_FACTOR = 0.05;
    private static final double SHORT_RATIO = 0.5;
    private static final Duration DEFAULT_DURATION = Duration.ofMillis(100);

    private final Map<Rank, Double> meanNanos = new EnumMap<>(Rank.class);

    /** Records the duration of a request. */
    void record(Rank rank, Duration duration) {
        double mean = meanNanos.getOrDefault(rank, (double) duration.toNanos());
        meanNanos.put(rank, mean + SMOOTHING_FACTOR * (duration.toNanos() - mean));
    }

    /** Returns the expected duration of a request. */
    Duration expected(Rank rank) {
        Double mean = meanNanos.get(rank);
        return mean == null ? DEFAULT_DURATION : Duration.ofNanos(mean.longValue());
    }

    /** Returns the lowest rank whose requests take less than half as long as those of a rank below it. */
    Optional<Rank> shortRequestRank() {
        return Arrays.stream(Rank.values())
                .filter(rank -> Arrays.stream(Rank.values()).anyMatch(lower -> isMuchShorter(rank, lower)))
                .reduce((higher, lower) -> lower);
    }

    private boolean isMuchShorter(Rank rank, Rank lower) {
        Double mean = meanNanos.get(rank);
        Double lowerMean = meanNanos.get(lower);
        return rank.isAbove(lower) && mean != null && lowerMean != null && mean < SHORT_RATIO * lowerMean;
    }
}
