package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Vertx;

/**
 * Ends a daemon without cutting a request: waits until clients have noticed that it is not ready, then until nothing is in
 * flight, at the latest shortly before the process is killed. Confined to one event loop.
 */
final class StopSequence {
    /** Clients stop sending after two missed readiness checks, which come once a second. */
    private static final Duration NOTICE = Duration.ofMillis(2_600);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    /** Time for closing ports and ending the process before it is killed. */
    private static final Duration END_MARGIN = Duration.ofMillis(400);

    private final Vertx vertx;
    private final TimeSource time;
    private final Duration grace;
    private final BooleanSupplier idle;
    private final Runnable refuseWork;
    private final Runnable end;
    private long startedNanos;

    StopSequence(
            Vertx vertx, TimeSource time, Duration grace, BooleanSupplier idle, Runnable refuseWork, Runnable end) {
        this.vertx = vertx;
        this.time = time;
        this.grace = grace;
        this.idle = idle;
        this.refuseWork = refuseWork;
        this.end = end;
    }

    void start() {
        startedNanos = time.monotonicNanos();
        vertx.setTimer(NOTICE.toMillis(), fired -> {
            refuseWork.run();
            check();
        });
    }

    private void check() {
        Duration elapsed = Duration.ofNanos(time.monotonicNanos() - startedNanos);
        if (idle.getAsBoolean() || elapsed.compareTo(grace.minus(END_MARGIN)) >= 0) {
            end.run();
            return;
        }
        vertx.setTimer(CHECK_INTERVAL.toMillis(), fired -> check());
    }
}
