package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;

/**
 * Selects the less loaded of two random candidates. Candidates of other zones are considered only when the utilization
 * of the local zone exceeds {@value #SPILL_OVER_UTILIZATION}. Confined to one thread.
 */
public final class PowerOfTwoChoices implements BackendSelector {
    private static final double SPILL_OVER_UTILIZATION = 0.8;

    /**
     * A report of this age has half the weight of a fresh one. Requests take a few milliseconds, so an old report says
     * little, and all daemons see the same report: with 700 ms, all of them select the server that was idle, which is
     * worse than round robin.
     */
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
        boolean spillOver = local.isEmpty() || zoneUtilization(local) > SPILL_OVER_UTILIZATION;
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
        BackendCandidate firstCandidate = candidates.get(first);
        BackendCandidate secondCandidate = candidates.get(second);
        return Optional.of(
                utilization(firstCandidate) <= utilization(secondCandidate) ? firstCandidate : secondCandidate);
    }

    private static double zoneUtilization(List<BackendCandidate> candidates) {
        double expected = candidates.stream()
                .mapToDouble(PowerOfTwoChoices::expectedInFlight)
                .sum();
        return expected
                / Math.max(
                        1, candidates.stream().mapToInt(BackendCandidate::limit).sum());
    }

    /** Returns the expected utilization of the limit. */
    static double utilization(BackendCandidate candidate) {
        return expectedInFlight(candidate) / Math.max(1, candidate.limit());
    }

    private static double expectedInFlight(BackendCandidate candidate) {
        double halfLives = (double) candidate.reportAge().toNanos() / REPORT_HALF_LIFE.toNanos();
        return candidate.inFlight() + candidate.reportedInFlight() * Math.pow(0.5, halfLives);
    }
}
