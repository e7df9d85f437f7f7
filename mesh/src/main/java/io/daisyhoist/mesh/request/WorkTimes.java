package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;

/** Mean time that requests of each rank take at one backend server. Confined to one thread. */
final class WorkTimes {
    private static final double GAIN = 0.05;
    private static final double MUCH_SHORTER = 0.5;
    private static final Duration UNKNOWN = Duration.ofMillis(100);

    private final Map<Rank, Double> meanNanos = new EnumMap<>(Rank.class);

    /** Learns how long a request took. */
    void onEnd(Rank rank, Duration took) {
        double mean = meanNanos.getOrDefault(rank, (double) took.toNanos());
        meanNanos.put(rank, mean + GAIN * (took.toNanos() - mean));
    }

    /** Returns how long a request is expected to take. */
    Duration expected(Rank rank) {
        Double mean = meanNanos.get(rank);
        return mean == null ? UNKNOWN : Duration.ofNanos(mean.longValue());
    }

    /** Returns the lowest rank whose requests take less than half as long as those of a rank below it. */
    Optional<Rank> shortBesideLong() {
        return Arrays.stream(Rank.values())
                .filter(rank -> Arrays.stream(Rank.values()).anyMatch(lower -> isMuchShorter(rank, lower)))
                .reduce((higher, lower) -> lower);
    }

    private boolean isMuchShorter(Rank rank, Rank lower) {
        Double mean = meanNanos.get(rank);
        Double lowerMean = meanNanos.get(lower);
        return rank.isAbove(lower) && mean != null && lowerMean != null && mean < MUCH_SHORTER * lowerMean;
    }
}
