package io.daisyhoist.mesh.telemetry;

import java.time.Duration;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Vertx;

/**
 * Measures how late an event loop runs its timers, which is also how late it reads requests and disconnects.
 *
 * <p>Written on the event loop; the result may be read by any thread.
 */
public final class EventLoopDelay {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);

    /** A delay of this length uses up much of the latency target of short requests. */
    private static final Duration REPORTED_DELAY = Duration.ofMillis(50);

    private final Vertx vertx;
    private final TimeSource time;
    private volatile Duration latest = Duration.ZERO;

    public EventLoopDelay(Vertx vertx, TimeSource time) {
        this.vertx = vertx;
        this.time = time;
    }

    /** Starts measuring; to be called on the event loop. */
    public void start() {
        long expectedNanos = time.monotonicNanos() + CHECK_INTERVAL.toNanos();
        vertx.setTimer(CHECK_INTERVAL.toMillis(), fired -> {
            record(Duration.ofNanos(Math.max(0, time.monotonicNanos() - expectedNanos)));
            start();
        });
    }

    private void record(Duration delay) {
        latest = delay;
        if (delay.compareTo(REPORTED_DELAY) > 0) {
            LOGGER.atInfo().log("event=event_loop_delayed delay_ms=%d", delay.toMillis());
        }
    }

    /** Returns the most recent delay. */
    public Duration latest() {
        return latest;
    }
}
