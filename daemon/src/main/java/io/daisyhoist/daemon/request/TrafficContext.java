package io.daisyhoist.daemon.request;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.routing.RoutingView;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/**
 * What the parts of the request path share. Immutable.
 *
 * @param context the one event loop that owns the request state of this daemon
 * @param time clock
 * @param random source of randomness, used on the event loop only
 * @param self this run of the daemon
 * @param zone own availability zone
 * @param group latest snapshot of the control thread
 * @param routing routing view of the same record and of the configuration in force
 * @param metrics metrics
 * @param tracer tracer
 */
public record TrafficContext(
        Context context,
        TimeSource time,
        RandomGenerator random,
        ProcessId self,
        AvailabilityZone zone,
        Supplier<GroupSnapshot> group,
        Supplier<RoutingView> routing,
        DaemonMetrics metrics,
        HopTracer tracer) {
    /** Runs a task on the event loop, at once when called there. */
    void execute(Runnable task) {
        if (Vertx.currentContext() == context) {
            task.run();
            return;
        }
        context.runOnContext(now -> task.run());
    }

    /** Runs a task on the event loop after some time, at least 1 ms. */
    long after(long delayMillis, Runnable task) {
        return context.owner().setTimer(Math.max(1, delayMillis), fired -> execute(task));
    }

    void cancelTimer(long timer) {
        context.owner().cancelTimer(timer);
    }
}
