package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * What this daemon knows of the load of backend servers, and its choice among them.
 *
 * <p>Combines the requests that this daemon has in flight, the reports that come with answers, the relative time that
 * answers take, and recent failures. Confined to one thread.
 */
public final class BackendLoads {
    /** Reports older than this say nothing about the present load. */
    private static final Duration REPORT_VALIDITY = Duration.ofSeconds(1);

    private static final double GAIN = 0.1;
    private static final double FAILURE_WEIGHT = 6;

    /** Requests to another availability zone take longer and their bytes are paid for. */
    private static final double OTHER_ZONE_COST = 1.25;

    /** A daemon that owes answers and has sent nothing for this long may be cut off. */
    private static final Duration SILENCE = Duration.ofMillis(600);

    /** Added to the score of a backend server that is used only if there is no other. */
    private static final double LAST_RESORT = 1_000;

    private static final Duration FIRST_AVOIDANCE = Duration.ofMillis(400);
    private static final int MAX_DOUBLINGS = 4;
    private static final double JITTER = 0.05;
    private static final double MIN_SLOWNESS = 0.3;
    private static final double MAX_SLOWNESS = 8;

    private final TimeSource time;
    private final RandomGenerator random;
    private final AvailabilityZone ownZone;
    private final Map<DaemonId, State> states = new HashMap<>();
    private final Map<String, Double> meanLatencyNanos = new HashMap<>();

    private static final class State {
        private int inFlight;
        private int sentSinceReport;
        private int reportedBusy;
        private int reportedLimit;
        private double slowdown = 1;
        private long reportNanos;
        private boolean reported;
        private double failures;
        private double slowness = 1;
        private long avoidUntilNanos;
        private boolean avoided;
        private long heardNanos;
        private int unreachable;
    }

    /**
     * A backend server that may be chosen. Immutable.
     *
     * @param daemon daemon beside it
     * @param zone its availability zone
     * @param slots requests that it runs at once
     */
    public record Candidate(DaemonId daemon, AvailabilityZone zone, int slots) {}

    /**
     * Load of a backend server as its daemon saw it. Immutable.
     *
     * @param busy requests in flight or queued
     * @param limit requests that it may have in flight
     * @param slowdown how long work takes relative to the usual
     */
    public record Report(int busy, int limit, double slowdown) {}

    /** Creates loads of zero. */
    public BackendLoads(TimeSource time, RandomGenerator random, AvailabilityZone ownZone) {
        this.time = time;
        this.random = random;
        this.ownZone = ownZone;
    }

    /** Chooses the candidate with the least expected wait; empty when there is none. */
    public Optional<Candidate> choose(Collection<Candidate> candidates, Set<DaemonId> excluded) {
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

    /** Returns whether one of the candidates seems to have a free slot. */
    public boolean hasRoom(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        return candidates.stream()
                .filter(candidate -> !excluded.contains(candidate.daemon()))
                .anyMatch(candidate -> utilization(candidate) <= 1 && !isLastResort(state(candidate.daemon())));
    }

    /** Returns the part of the slots that is busy once another request has been sent. */
    private double utilization(Candidate candidate) {
        State state = state(candidate.daemon());
        boolean fresh = isFresh(state);
        double busy = fresh ? Math.max(state.inFlight, state.reportedBusy + state.sentSinceReport) : state.inFlight;
        double slots = fresh && state.reportedLimit > 0 ? state.reportedLimit : candidate.slots();
        return (busy + 1) / Math.max(1, slots);
    }

    private boolean isFresh(State state) {
        return state.reported && time.monotonicNanos() - state.reportNanos < REPORT_VALIDITY.toNanos();
    }

    private boolean isLastResort(State state) {
        long now = time.monotonicNanos();
        boolean silent = state.inFlight > 0 && now - state.heardNanos > SILENCE.toNanos();
        return silent || state.avoided && state.avoidUntilNanos - now > 0;
    }

    private double score(Candidate candidate) {
        State state = state(candidate.daemon());
        boolean fresh = isFresh(state);
        double score = utilization(candidate);
        score *= state.slowness * (fresh ? Math.sqrt(state.slowdown) : 1) * (1 + FAILURE_WEIGHT * state.failures);
        if (!candidate.zone().equals(ownZone)) {
            score *= OTHER_ZONE_COST;
        }
        if (isLastResort(state)) {
            score += LAST_RESORT;
        }
        return score * (1 + JITTER * random.nextDouble());
    }

    /** Counts a request that is being sent. */
    public void onSend(DaemonId daemon) {
        State state = state(daemon);
        if (state.inFlight == 0) {
            state.heardNanos = time.monotonicNanos();
        }
        state.inFlight++;
        state.sentSinceReport++;
    }

    /** Counts the end of a request, however it ended. */
    public void onEnd(DaemonId daemon) {
        State state = state(daemon);
        state.inFlight = Math.max(0, state.inFlight - 1);
    }

    /** Takes a load report. */
    public void onReport(DaemonId daemon, Report report) {
        State state = state(daemon);
        state.reported = true;
        state.reportNanos = time.monotonicNanos();
        state.heardNanos = state.reportNanos;
        state.reportedBusy = report.busy();
        state.reportedLimit = report.limit();
        state.slowdown = Math.max(0.1, report.slowdown());
        state.sentSinceReport = 0;
    }

    /** Learns how long an answer took. */
    public void onAnswer(DaemonId daemon, String route, Duration latency) {
        State state = state(daemon);
        state.failures -= GAIN * state.failures;
        state.avoided = false;
        double nanos = Math.max(1, latency.toNanos());
        double mean = meanLatencyNanos.getOrDefault(route, nanos);
        meanLatencyNanos.put(route, mean + GAIN / 2 * (nanos - mean));
        double ratio = Math.min(MAX_SLOWNESS, Math.max(MIN_SLOWNESS, nanos / mean));
        state.slowness += GAIN * (ratio - state.slowness);
    }

    /** Returns how long answers to a route's requests take on average; zero when none is known. */
    public Duration meanLatency(String route) {
        return Duration.ofNanos(meanLatencyNanos.getOrDefault(route, 0.0).longValue());
    }

    /** Learns that a request failed at the backend server. */
    public void onFailure(DaemonId daemon) {
        State state = state(daemon);
        state.failures += GAIN * (1 - state.failures);
    }

    /** Leaves a daemon out for some time, as long as there is another candidate. */
    public void avoid(DaemonId daemon, Duration howLong) {
        State state = state(daemon);
        state.avoided = true;
        state.avoidUntilNanos = time.monotonicNanos() + howLong.toNanos();
    }

    /** Learns that a daemon could not be reached; it is left out for longer each time. */
    public void onUnreachable(DaemonId daemon) {
        State state = state(daemon);
        state.unreachable = Math.min(state.unreachable + 1, MAX_DOUBLINGS);
        avoid(daemon, FIRST_AVOIDANCE.multipliedBy(1L << (state.unreachable - 1)));
    }

    /** Learns that a daemon has answered. */
    public void onReachable(DaemonId daemon) {
        state(daemon).unreachable = 0;
    }

    private State state(DaemonId daemon) {
        return states.computeIfAbsent(daemon, any -> new State());
    }
}
