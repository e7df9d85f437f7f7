package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Vertx;

/**
 * Shuts down a daemon without interrupting requests: waits until clients have detected that it is not ready, then until no
 * request has been in flight for a while, but ends before the process is killed. Confined to one event loop.
 */
final class GracefulShutdown {
    /** Clients stop sending after two failed readiness checks, which they run once per second. */
    private static final Duration READINESS_DETECTION_TIME = Duration.ofMillis(2_600);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    /** Covers the transit of the last responses, and of requests that were sent before their clients learned of the stop. */
    private static final Duration QUIET_TIME = Duration.ofMillis(250);

    /** Reserved for closing ports and exiting before the process is killed. */
    private static final Duration EXIT_MARGIN = Duration.ofMillis(400);

    private final Vertx vertx;
    private final TimeSource time;
    private final Deadline exit;
    private final BooleanSupplier idle;
    private final Runnable refuseRequests;
    private final Runnable onFinished;
    private long lastBusyNanos;

    /**
     * Creates a shutdown that has not started.
     *
     * @param exit latest time of its end
     * @param idle whether no request is in flight
     * @param refuseRequests makes the daemon refuse all further requests
     * @param onFinished called when the process can exit
     */
    GracefulShutdown(
            Vertx vertx,
            TimeSource time,
            Deadline exit,
            BooleanSupplier idle,
            Runnable refuseRequests,
            Runnable onFinished) {
        this.vertx = vertx;
        this.time = time;
        this.exit = exit;
        this.idle = idle;
        this.refuseRequests = refuseRequests;
        this.onFinished = onFinished;
    }

    /**
     * Returns the longest duration of a shutdown.
     *
     * @param grace time after which the process is killed
     */
    static Duration maxDuration(Duration grace) {
        return grace.minus(EXIT_MARGIN);
    }

    /** Starts the shutdown, on the event loop. */
    void start() {
        vertx.setTimer(READINESS_DETECTION_TIME.toMillis(), fired -> {
            refuseRequests.run();
            lastBusyNanos = time.monotonicNanos();
            check();
        });
    }

    private void check() {
        long now = time.monotonicNanos();
        if (!idle.getAsBoolean()) {
            lastBusyNanos = now;
        }
        boolean quiet = now - lastBusyNanos >= QUIET_TIME.toNanos();
        if (quiet || exit.hasPassed(time)) {
            onFinished.run();
            return;
        }
        vertx.setTimer(CHECK_INTERVAL.toMillis(), fired -> check());
    }
}
