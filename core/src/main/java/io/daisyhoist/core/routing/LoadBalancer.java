package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Tracks the load of backend servers and selects the least loaded one for a request.
 *
 * <p>The score of a backend server combines the requests in flight from this daemon, the load reports attached to
 * responses, the relative latency of responses and recent failures. Confined to one thread.
 */
public final class LoadBalancer {
    /** Load reports older than this are ignored. */
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);

    private static final double EWMA_GAIN = 0.1;
    private static final double FAILURE_RATE_WEIGHT = 6;

    /** Requests to another availability zone have a higher latency and their traffic is charged. */
    private static final double CROSS_ZONE_FACTOR = 1.25;

    /** A daemon with requests in flight that has sent nothing for this long may be unreachable. */
    private static final Duration CONTACT_TIMEOUT = Duration.ofMillis(600);

    /** Added to the score of a backend server that is selected only if there is no other. */
    private static final double LAST_RESORT_PENALTY = 1_000;

    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(400);
    private static final int MAX_BACKOFF_DOUBLINGS = 4;
    private static final double SCORE_JITTER = 0.05;
    private static final double MIN_LATENCY_RATIO = 0.3;
    private static final double MAX_LATENCY_RATIO = 8;

    private final TimeSource time;
    private final RandomGenerator random;
    private final AvailabilityZone ownZone;
    private final Map<DaemonId, State> stateByDaemon = new HashMap<>();
    private final Map<String, Double> meanLatencyNanosByRoute = new HashMap<>();

    private static final class State {
        private int inFlight;
        private int sentSinceReport;
        private int reportedLoad;
        private int reportedLimit;
        private double reportedSlowdown = 1;
        private long lastReportNanos;
        private boolean hasReport;
        private double failureRate;
        private double latencyRatio = 1;
        private long backoffUntilNanos;
        private boolean inBackoff;
        private long lastContactNanos;
        private int connectFailures;
    }

    /**
     * Backend server that may be selected. Immutable.
     *
     * @param daemon daemon of the backend server
     * @param zone its availability zone
     * @param slots number of requests that it runs concurrently
     */
    public record Candidate(DaemonId daemon, AvailabilityZone zone, int slots) {}

    /**
     * Load of a backend server as measured by its daemon. Immutable.
     *
     * @param busy requests in flight or queued
     * @param limit concurrency limit
     * @param slowdown ratio of the current service time to the usual one
     */
    public record Report(int busy, int limit, double slowdown) {}

    public LoadBalancer(TimeSource time, RandomGenerator random, AvailabilityZone ownZone) {
        this.time = time;
        this.random = random;
        this.ownZone = ownZone;
    }

    /** Selects the candidate with the lowest expected wait; empty if all are excluded. */
    public Optional<Candidate> select(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        Candidate best = null;
        double bestScore = Double.MAX_VALUE;
        for (Candidate candidate : candidates) {
            if (excluded.contains(candidate.daemon())) {
                continue;
            }
            double score = score(candidate);
            if (score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns whether any candidate is expected to have a free slot. */
    public boolean hasFreeSlot(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        return candidates.stream()
                .filter(candidate -> !excluded.contains(candidate.daemon()))
                .anyMatch(candidate -> utilization(candidate) <= 1 && !isLastResort(state(candidate.daemon())));
    }

    /**
     * Returns the utilization that the least busy candidate would have with one more request; empty if there is no candidate,
     * or one without a recent load report.
     */
    public OptionalDouble leastUtilization(Collection<Candidate> candidates) {
        boolean allKnown = candidates.stream().allMatch(candidate -> hasFreshReport(state(candidate.daemon())));
        return allKnown ? candidates.stream().mapToDouble(this::utilization).min() : OptionalDouble.empty();
    }

    /** Returns the utilization that would result from sending one more request. */
    private double utilization(Candidate candidate) {
        State state = state(candidate.daemon());
        boolean hasFreshReport = hasFreshReport(state);
        double busy =
                hasFreshReport ? Math.max(state.inFlight, state.reportedLoad + state.sentSinceReport) : state.inFlight;
        double slots = hasFreshReport && state.reportedLimit > 0 ? state.reportedLimit : candidate.slots();
        return (busy + 1) / Math.max(1, slots);
    }

    private boolean hasFreshReport(State state) {
        return state.hasReport && time.monotonicNanos() - state.lastReportNanos < REPORT_VALIDITY.toNanos();
    }

    private boolean isLastResort(State state) {
        long now = time.monotonicNanos();
        boolean unresponsive = state.inFlight > 0 && now - state.lastContactNanos > CONTACT_TIMEOUT.toNanos();
        return unresponsive || state.inBackoff && state.backoffUntilNanos - now > 0;
    }

    private double score(Candidate candidate) {
        State state = state(candidate.daemon());
        boolean hasFreshReport = hasFreshReport(state);
        double score = utilization(candidate);
        score *= state.latencyRatio
                * (hasFreshReport ? Math.sqrt(state.reportedSlowdown) : 1)
                * (1 + FAILURE_RATE_WEIGHT * state.failureRate);
        if (!candidate.zone().equals(ownZone)) {
            score *= CROSS_ZONE_FACTOR;
        }
        if (isLastResort(state)) {
            score += LAST_RESORT_PENALTY;
        }
        return score * (1 + SCORE_JITTER * random.nextDouble());
    }

    /** Records that a request is sent. */
    public void onSend(DaemonId daemon) {
        State state = state(daemon);
        if (state.inFlight == 0) {
            state.lastContactNanos = time.monotonicNanos();
        }
        state.inFlight++;
        state.sentSinceReport++;
    }

    /** Records that a request has ended, with any outcome. */
    public void onCompletion(DaemonId daemon) {
        State state = state(daemon);
        state.inFlight = Math.max(0, state.inFlight - 1);
    }

    /** Records a load report. */
    public void onReport(DaemonId daemon, Report report) {
        State state = state(daemon);
        state.hasReport = true;
        state.lastReportNanos = time.monotonicNanos();
        state.lastContactNanos = state.lastReportNanos;
        state.reportedLoad = report.busy();
        state.reportedLimit = report.limit();
        state.reportedSlowdown = Math.max(0.1, report.slowdown());
        state.sentSinceReport = 0;
    }

    /** Records the latency of a response. */
    public void onResponse(DaemonId daemon, String route, Duration latency) {
        State state = state(daemon);
        state.failureRate -= EWMA_GAIN * state.failureRate;
        state.inBackoff = false;
        double nanos = Math.max(1, latency.toNanos());
        double mean = meanLatencyNanosByRoute.getOrDefault(route, nanos);
        meanLatencyNanosByRoute.put(route, mean + EWMA_GAIN / 2 * (nanos - mean));
        double ratio = Math.min(MAX_LATENCY_RATIO, Math.max(MIN_LATENCY_RATIO, nanos / mean));
        state.latencyRatio += EWMA_GAIN * (ratio - state.latencyRatio);
    }

    /** Returns the mean latency of the requests of a route; zero if none is known. */
    public Duration meanLatency(String route) {
        return Duration.ofNanos(meanLatencyNanosByRoute.getOrDefault(route, 0.0).longValue());
    }

    /** Records that a request failed at the backend server. */
    public void onFailure(DaemonId daemon) {
        State state = state(daemon);
        state.failureRate += EWMA_GAIN * (1 - state.failureRate);
    }

    /** Avoids a daemon for some time, unless there is no other candidate. */
    public void avoid(DaemonId daemon, Duration duration) {
        State state = state(daemon);
        state.inBackoff = true;
        state.backoffUntilNanos = time.monotonicNanos() + duration.toNanos();
    }

    /** Records a failed connection to a daemon and avoids it, with exponential backoff. */
    public void onUnreachable(DaemonId daemon) {
        State state = state(daemon);
        state.connectFailures = Math.min(state.connectFailures + 1, MAX_BACKOFF_DOUBLINGS);
        avoid(daemon, INITIAL_BACKOFF.multipliedBy(1L << (state.connectFailures - 1)));
    }

    /** Records a response of a daemon, which resets the next backoff to its initial length. */
    public void onReachable(DaemonId daemon) {
        state(daemon).connectFailures = 0;
    }

    private State state(DaemonId daemon) {
        return stateByDaemon.computeIfAbsent(daemon, any -> new State());
    }
}
