package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;

/**
 * Tracks the load of backend servers and selects one for a request.
 *
 * <p>Two candidates are drawn with probabilities proportional to the requests per second that they can serve, and the one
 * with the lower expected utilization is selected: the draw divides the requests by speed even if most reports are old,
 * and keeps daemons with the same reports from selecting the same server; the comparison evens out chance. Servers without
 * room are passed over while any other has room. Confined to one thread.
 */
public final class LoadBalancer {
    /** Utilization of the selected server from which servers of other zones are considered; their traffic is charged. */
    private static final double SPILL_UTILIZATION = 0.5;

    /** Ratio of costs from which a server of another zone is selected. */
    private static final double CROSS_ZONE_FACTOR = 1.25;

    /** Relative jitter of the expected finish time when no server has room. */
    private static final double FINISH_JITTER = 0.2;

    /** Servers that reject more than this share are not tried with a request that another one has rejected. */
    private static final double MAX_REJECTED_SHARE = 0.6;

    private static final double MEAN_LATENCY_GAIN = 0.05;

    private final TimeSource time;
    private final RandomGenerator random;
    private final CandidateScan scan;
    private final BalancerListener listener;
    private final Map<DaemonId, ServerState> stateByDaemon = new HashMap<>();
    private final Map<String, Double> meanLatencyNanosByRoute = new HashMap<>();
    private final Map<ServiceName, EarlyRefusal> refusalByService = new HashMap<>();
    private final Function<DaemonId, ServerState> stateOf = this::state;

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
     * @param completedPerSlotSecond requests completed per second and slot in use; zero if unknown
     * @param rejectedShare share of recent requests that the backend server rejected by itself, from 0 to 1
     */
    public record Report(int busy, int limit, double slowdown, double completedPerSlotSecond, double rejectedShare) {
        /** Creates a report of a daemon that does not know the speed of its backend server. */
        public Report(int busy, int limit, double slowdown) {
            this(busy, limit, slowdown, 0, 0);
        }
    }

    /** Creates a load balancer whose decisions nobody is told about. */
    public LoadBalancer(TimeSource time, RandomGenerator random, AvailabilityZone ownZone) {
        this(time, random, ownZone, BalancerListener.NONE);
    }

    public LoadBalancer(TimeSource time, RandomGenerator random, AvailabilityZone ownZone, BalancerListener listener) {
        this.time = time;
        this.random = random;
        this.scan = new CandidateScan(random, ownZone, listener);
        this.listener = listener;
    }

    /** Selects a candidate; empty if all are excluded. */
    public Optional<Candidate> select(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        read(candidates, excluded);
        int selected = preferred();
        if (selected == CandidateScan.NONE) {
            return soonest(excluded, false);
        }
        if (!scan.hasRoom(selected)) {
            int withRoom = scan.anyWithRoom();
            if (withRoom == CandidateScan.NONE) {
                return soonest(excluded, true);
            }
            selected = withRoom;
        }
        return Optional.of(scan.candidate(selected));
    }

    private int preferred() {
        int local = scan.betterOfTwo(true);
        if (local != CandidateScan.NONE && scan.cost(local) <= SPILL_UTILIZATION) {
            return local;
        }
        int remote = scan.betterOfTwo(false);
        if (local == CandidateScan.NONE || remote == CandidateScan.NONE) {
            return local == CandidateScan.NONE ? remote : local;
        }
        return scan.cost(remote) * CROSS_ZONE_FACTOR < scan.cost(local) ? remote : local;
    }

    private Optional<Candidate> soonest(Set<DaemonId> excluded, boolean onlyUsable) {
        Candidate best = null;
        double bestSeconds = Double.MAX_VALUE;
        for (int i = 0; i < scan.size(); i++) {
            boolean allowed = onlyUsable
                    ? scan.isUsable(i)
                    : !excluded.contains(scan.candidate(i).daemon());
            if (allowed) {
                double seconds = scan.finishSeconds(i) * (1 + FINISH_JITTER * random.nextDouble());
                if (seconds < bestSeconds) {
                    best = scan.candidate(i);
                    bestSeconds = seconds;
                }
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Selects a candidate for a request that a backend server has rejected: one that is known from a recent report to have
     * room and to serve most of its requests.
     */
    public Optional<Candidate> selectAfterRejection(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        read(candidates, excluded);
        long now = time.monotonicNanos();
        int best = CandidateScan.NONE;
        for (int i = 0; i < scan.size(); i++) {
            ServerState state = scan.state(i);
            boolean suitable = scan.isUsable(i)
                    && state.hasLoad(now)
                    && scan.hasRoom(i)
                    && state.rejectedShare(now) <= MAX_REJECTED_SHARE;
            if (suitable && (best == CandidateScan.NONE || scan.cost(i) < scan.cost(best))) {
                best = i;
            }
        }
        return best == CandidateScan.NONE ? Optional.empty() : Optional.of(scan.candidate(best));
    }

    /** Returns whether any candidate is expected to have a free slot. */
    public boolean hasFreeSlot(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        read(candidates, excluded);
        for (int i = 0; i < scan.size(); i++) {
            if (scan.isUsable(i) && scan.hasRoom(i)) {
                return true;
            }
        }
        return false;
    }

    /** Returns the shortest expected run time of a request among the candidates; zero if unknown. */
    public Duration shortestRun(String route, Collection<Candidate> candidates, Set<DaemonId> excluded) {
        read(candidates, excluded);
        double ratio = Double.MAX_VALUE;
        for (int i = 0; i < scan.size(); i++) {
            if (scan.isUsable(i)) {
                ratio = Math.min(ratio, scan.relativeRunTime(i));
            }
        }
        return ratio == Double.MAX_VALUE
                ? Duration.ZERO
                : Duration.ofNanos((long) (ratio * meanLatency(route).toNanos()));
    }

    /**
     * Returns the utilization that the least busy candidate would have with one more request; empty if there is no candidate,
     * or one without a recent load report.
     */
    public OptionalDouble leastUtilization(Collection<Candidate> candidates) {
        read(candidates, Set.of());
        long now = time.monotonicNanos();
        OptionalDouble least = OptionalDouble.empty();
        for (int i = 0; i < scan.size(); i++) {
            if (!scan.state(i).hasLoad(now)) {
                return OptionalDouble.empty();
            }
            double utilization = scan.utilizationWithOneMore(i);
            least = OptionalDouble.of(Math.min(least.orElse(utilization), utilization));
        }
        return least;
    }

    /**
     * Decides whether a new request to a service is refused before it is sent, because its backend servers reject most
     * requests; returns after which time the client may try again, or empty if the request is to be sent.
     */
    public Optional<Duration> refuseEarly(ServiceName service, Collection<Candidate> candidates) {
        EarlyRefusal refusal =
                refusalByService.computeIfAbsent(service, any -> new EarlyRefusal(time.monotonicNanos()));
        long now = time.monotonicNanos();
        if (refusal.isReviewDue(now)) {
            read(candidates, Set.of());
            double before = refusal.admittedShare();
            refusal.review(now, scan.rejectedShare());
            if (refusal.admittedShare() != before) {
                listener.onAdmittedShare(service, refusal.admittedShare(), scan.rejectedShare());
            }
        }
        return refusal.decide(random);
    }

    private void read(Collection<Candidate> candidates, Set<DaemonId> excluded) {
        scan.read(candidates, excluded, stateOf, time.monotonicNanos());
    }

    /** Records that a request is sent. */
    public void onSend(DaemonId daemon) {
        state(daemon).onSend(time.monotonicNanos());
    }

    /** Records that a request has ended, with any outcome. */
    public void onCompletion(DaemonId daemon) {
        state(daemon).onCompletion();
    }

    /** Records a load report; to be called before {@link #onCompletion} for the request that it came with. */
    public void onReport(DaemonId daemon, Report report) {
        state(daemon).onReport(time.monotonicNanos(), report);
    }

    /** Records the latency of a response. */
    public void onResponse(DaemonId daemon, String route, Duration latency) {
        double nanos = Math.max(1, latency.toNanos());
        double mean = meanLatencyNanosByRoute.getOrDefault(route, nanos);
        meanLatencyNanosByRoute.put(route, mean + MEAN_LATENCY_GAIN * (nanos - mean));
        state(daemon).onResponse(nanos / mean);
    }

    /** Returns the mean latency of the requests of a route; zero if none is known. */
    public Duration meanLatency(String route) {
        return Duration.ofNanos(meanLatencyNanosByRoute.getOrDefault(route, 0.0).longValue());
    }

    /** Records that a request failed at the backend server. */
    public void onFailure(DaemonId daemon) {
        state(daemon).onFailure(time.monotonicNanos());
    }

    /** Records that the backend server rejected a request without running it. */
    public void onRejection(DaemonId daemon) {
        state(daemon).onRejection(time.monotonicNanos());
    }

    /** Avoids a daemon for some time, unless there is no other candidate. */
    public void avoid(DaemonId daemon, Duration duration) {
        state(daemon).avoid(time.monotonicNanos(), duration);
    }

    /** Records a failed connection to a daemon and avoids it, with exponential backoff. */
    public void onUnreachable(DaemonId daemon) {
        state(daemon).onUnreachable(time.monotonicNanos());
    }

    /** Records a response of a daemon, which resets the next backoff to its initial length. */
    public void onReachable(DaemonId daemon) {
        state(daemon).onReachable();
    }

    private ServerState state(DaemonId daemon) {
        return stateByDaemon.computeIfAbsent(daemon, any -> new ServerState());
    }
}
