package io.daisyhoist.daemon.request;

import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.routing.RoutingSnapshot;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.vertx.core.Context;
import io.vertx.core.Vertx;

/**
 * Dependencies shared by the components of the request pipeline. Immutable.
 *
 * @param context event loop to which the request state of this daemon is confined
 * @param time clock
 * @param random source of randomness, used on the event loop only
 * @param self identity of this daemon process
 * @param zone availability zone of this daemon
 * @param group latest group snapshot published by the control thread
 * @param routing latest routing snapshot, of the same group record and of the effective configuration
 * @param metrics metrics
 * @param tracer tracer
 * @param memory memory for requests and responses, used on the event loop only
 */
public record TrafficContext(
        Context context,
        TimeSource time,
        RandomGenerator random,
        ProcessId self,
        AvailabilityZone zone,
        Supplier<GroupSnapshot> group,
        Supplier<RoutingSnapshot> routing,
        DaemonMetrics metrics,
        HopTracer tracer,
        MemoryBudget memory) {
    /** Runs a task on the event loop, immediately if called on it. */
    void execute(Runnable task) {
        if (Vertx.currentContext() == context) {
            task.run();
            return;
        }
        context.runOnContext(now -> task.run());
    }

    /** Runs a task on the event loop after a delay of at least 1 ms; returns the timer id. */
    long schedule(long delayMillis, Runnable task) {
        return context.owner().setTimer(Math.max(1, delayMillis), fired -> execute(task));
    }

    void cancelTimer(long timer) {
        context.owner().cancelTimer(timer);
    }
}
