package io.daisyhoist.mesh.request;

import java.util.function.Supplier;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.routing.BackendLoads;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Vertx;

/**
 * What all requests of a daemon share. Confined to the traffic event loop.
 *
 * @param vertx timers
 * @param time clock
 * @param fleet the fleet as last heard of
 * @param callerService service of the backend server beside this daemon
 * @param forwarder way to backend servers
 * @param loads loads of backend servers
 * @param budget retries that this daemon may send
 * @param metrics counters and histograms
 */
public record RequestContext(
        Vertx vertx,
        TimeSource time,
        Supplier<FleetSnapshot> fleet,
        ServiceName callerService,
        BackendSender forwarder,
        BackendLoads loads,
        FleetRetryBudget budget,
        FleetMetrics metrics) {}
