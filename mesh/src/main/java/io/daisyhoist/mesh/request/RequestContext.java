package io.daisyhoist.mesh.request;

import java.util.function.Supplier;

import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Vertx;

/**
 * Dependencies of the requests of a daemon. Confined to the traffic event loop.
 *
 * @param vertx timers
 * @param time clock
 * @param fleet most recent fleet snapshot
 * @param callerService service of the local backend server
 * @param backendSender sends requests to backend servers
 * @param loadBalancer tracks the load of backend servers and selects one
 * @param budget retry budget of this daemon
 * @param metrics counters and histograms
 * @param memory memory for requests and responses
 */
public record RequestContext(
        Vertx vertx,
        TimeSource time,
        Supplier<FleetSnapshot> fleet,
        ServiceName callerService,
        BackendSender backendSender,
        LoadBalancer loadBalancer,
        FleetRetryBudget budget,
        FleetMetrics metrics,
        MemoryBudget memory) {}
