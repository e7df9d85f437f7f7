package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.admission.DeadlineRefusal;
import io.daisyhoist.core.admission.KindNumbers;
import io.daisyhoist.core.admission.RequestCost;
import io.daisyhoist.core.admission.RetryAfterSpread;
import io.daisyhoist.core.admission.WorkEstimator;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;

/**
 * Admission at the daemon that receives requests from clients, before anything is sent. Confined to the traffic event loop.
 */
final class IngressAdmission {
    /** Latencies contain waiting times, so that low ones tell more about the work. */
    private static final double GAIN_UP = 0.02;

    private static final double GAIN_DOWN = 0.1;

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(30);

    /** Clients retry within a third of their remaining time or not at all. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private final TimeSource time;
    private final KindNumbers kindNumbers = new KindNumbers();
    private final WorkEstimator routeEstimator;
    private final WorkEstimator serviceEstimator;
    private final Map<ServiceName, DeadlineRefusal> refusalByService = new HashMap<>();
    private final RetryAfterSpread spread;

    /** Creates an admission that knows no run times. */
    IngressAdmission(TimeSource time, RandomGenerator random) {
        this.time = time;
        this.routeEstimator = new WorkEstimator(time, GAIN_UP, GAIN_DOWN);
        this.serviceEstimator = new WorkEstimator(time, GAIN_UP, GAIN_DOWN);
        this.spread = new RetryAfterSpread(random);
    }

    /** Records the latency of a response. */
    void onResponse(ClientRequest request, ServiceName service, Duration latency) {
        routeEstimator.record(request.route().name(), latency.toNanos());
        serviceEstimator.record(service.name(), latency.toNanos());
    }

    /** Returns the expected run time of a request; zero if it is unknown. */
    Duration expectedWork(ClientRequest request) {
        return Duration.ofNanos(routeEstimator.estimate(request.route().name()).plannedNanos());
    }

    /** Returns the time until which a response meets the latency target. */
    static Deadline target(ClientRequest request) {
        return new Deadline(
                request.arrivedNanos() + request.route().targetLatency().toNanos());
    }

    /**
     * Returns after which time a client may return whose request no backend server can serve in time; empty if the request is
     * to be sent.
     *
     * @param utilization see {@link DeadlineRefusal#timeUntilRoom}
     */
    Optional<Duration> refusal(ClientRequest request, ServiceName service, OptionalDouble utilization) {
        String route = request.route().name();
        RequestCost cost = new RequestCost(
                kindNumbers.number(route, request.route().priority()),
                request.route().priority(),
                request.nested(),
                target(request).atNanos(),
                request.deadline().atNanos(),
                routeEstimator.estimate(route));
        long meanWorkNanos = serviceEstimator.estimate(service.name()).plannedNanos();
        return refusalByService
                .computeIfAbsent(service, any -> new DeadlineRefusal())
                .timeUntilRoom(cost, utilization, meanWorkNanos, time.monotonicNanos())
                .map(spread::spread);
    }

    /**
     * Returns after which time a refused client may return, at most a third of its remaining time. Clients for which that is too
     * short are spread, because they would otherwise return together.
     *
     * @param expected expected time until there is room, if it is known
     */
    Duration retryAfter(Optional<Duration> expected, Duration remaining) {
        Duration suggested = expected.orElse(DEFAULT_RETRY_AFTER);
        Duration atLeast = suggested.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : suggested;
        Duration max = remaining.dividedBy(RETRY_AFTER_DIVISOR);
        return atLeast.compareTo(max) <= 0 ? atLeast : spread.shorten(max);
    }
}
