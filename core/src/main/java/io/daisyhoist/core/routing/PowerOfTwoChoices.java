package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;

/**
 * Draws two candidates and takes the less loaded one; candidates of the local zone first, until the zone's load exceeds
 * {@value #SPILL_OVER_LOAD}. Confined to one thread.
 */
public final class PowerOfTwoChoices implements BackendSelector {
    private static final double SPILL_OVER_LOAD = 0.8;
    // A report of this age is worth half of a fresh one. Requests last some milliseconds, so an old report says little,
    // and all daemons see the same one: with 700 ms they crowd the server that was idle, worse than round robin.
    private static final Duration REPORT_HALF_LIFE = Duration.ofMillis(100);

    private final AvailabilityZone localZone;
    private final RandomGenerator random;

    public PowerOfTwoChoices(AvailabilityZone localZone, RandomGenerator random) {
        this.localZone = localZone;
        this.random = random;
    }

    @Override
    public Optional<BackendCandidate> select(List<BackendCandidate> candidates) {
        List<BackendCandidate> local = candidates.stream()
                .filter(candidate -> candidate.zone().equals(localZone))
                .toList();
        boolean spillOver = local.isEmpty() || zoneLoad(local) > SPILL_OVER_LOAD;
        return selectFrom(spillOver ? candidates : local);
    }

    private Optional<BackendCandidate> selectFrom(List<BackendCandidate> candidates) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        int first = random.nextInt(candidates.size());
        if (candidates.size() == 1) {
            return Optional.of(candidates.get(first));
        }
        int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
        BackendCandidate one = candidates.get(first);
        BackendCandidate other = candidates.get(second);
        return Optional.of(load(one) <= load(other) ? one : other);
    }

    private static double zoneLoad(List<BackendCandidate> candidates) {
        double expected = candidates.stream()
                .mapToDouble(PowerOfTwoChoices::expectedInFlight)
                .sum();
        return expected
                / Math.max(
                        1, candidates.stream().mapToInt(BackendCandidate::limit).sum());
    }

    /** Returns the expected share of the limit in use. */
    static double load(BackendCandidate candidate) {
        return expectedInFlight(candidate) / Math.max(1, candidate.limit());
    }

    private static double expectedInFlight(BackendCandidate candidate) {
        double halfLives = (double) candidate.reportAge().toNanos() / REPORT_HALF_LIFE.toNanos();
        return candidate.inFlight() + candidate.reportedInFlight() * Math.pow(0.5, halfLives);
    }
}
