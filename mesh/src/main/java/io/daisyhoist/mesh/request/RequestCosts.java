package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Supplier;

import io.daisyhoist.core.admission.KindNumbers;
import io.daisyhoist.core.admission.RequestCost;
import io.daisyhoist.core.admission.WorkEstimate;
import io.daisyhoist.core.admission.WorkEstimator;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * What a refusal of a request costs, with the run time that requests of its route had at the local backend server. Confined to
 * the traffic event loop.
 */
final class RequestCosts {
    private static final double ESTIMATE_GAIN = 0.05;

    /** Expected run time of a request of which neither this daemon nor the sender knows anything. */
    private static final Duration DEFAULT_WORK = Duration.ofMillis(100);

    private final Supplier<FleetSnapshot> fleet;
    private final KindNumbers kindNumbers = new KindNumbers();
    private final WorkEstimator estimator;

    RequestCosts(TimeSource time, Supplier<FleetSnapshot> fleet) {
        this.fleet = fleet;
        this.estimator = new WorkEstimator(time, ESTIMATE_GAIN, ESTIMATE_GAIN);
    }

    RequestCost cost(BackendRequestData request) {
        String kind = kind(request);
        return new RequestCost(
                kindNumbers.number(kind, request.priority()),
                request.priority(),
                request.nested(),
                request.target().atNanos(),
                request.deadline().atNanos(),
                work(request, kind));
    }

    private WorkEstimate work(BackendRequestData request, String kind) {
        WorkEstimate own = estimator.estimate(kind);
        return own.equals(WorkEstimate.UNKNOWN)
                ? new WorkEstimate(request.expectedWork().toNanos(), 0)
                : own;
    }

    /** Returns how long a request with this cost probably runs. */
    static Duration expectedDuration(RequestCost cost) {
        return cost.work().meanNanos() > 0 ? Duration.ofNanos(cost.work().meanNanos()) : DEFAULT_WORK;
    }

    /** Records the run time of a request that ran to its end. */
    void record(BackendRequestData request, Duration runTime) {
        estimator.record(kind(request), runTime.toNanos());
    }

    /** Requests without a route, as after a change of the configuration, count as one kind. */
    private String kind(BackendRequestData request) {
        Optional<Route> route =
                fleet.get().config().flatMap(config -> config.routes().find(request.host(), request.path()));
        return route.map(Route::name).orElse("");
    }
}
