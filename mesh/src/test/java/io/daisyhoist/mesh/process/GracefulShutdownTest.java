package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GracefulShutdownTest {
    private final Vertx vertx = Vertx.vertx();
    private final AtomicBoolean idle = new AtomicBoolean();
    private final AtomicBoolean refusing = new AtomicBoolean();
    private final CountDownLatch finished = new CountDownLatch(1);

    @AfterEach
    void close() {
        vertx.close();
    }

    private void start(Duration grace) {
        TimeSource time = new SystemTimeSource();
        GracefulShutdown shutdown = new GracefulShutdown(
                vertx,
                time,
                Deadline.after(time, GracefulShutdown.maxDuration(grace)),
                idle::get,
                () -> refusing.set(true),
                finished::countDown);
        vertx.runOnContext(run -> shutdown.start());
    }

    /** Guards against exiting before clients have detected that the daemon is not ready. */
    @Test
    void start_idle_waitsForReadinessDetection() throws InterruptedException {
        idle.set(true);
        start(Duration.ofSeconds(20));
        assertFalse(finished.await(2, TimeUnit.SECONDS));
        assertTrue(finished.await(10, TimeUnit.SECONDS));
    }

    /** Guards against interrupting a request before the stop grace has passed. */
    @Test
    void start_busy_waitsForRequests() throws InterruptedException {
        start(Duration.ofSeconds(20));
        assertFalse(finished.await(3, TimeUnit.SECONDS));
        assertTrue(refusing.get());
        idle.set(true);
        assertTrue(finished.await(10, TimeUnit.SECONDS));
    }

    /** Guards against exiting between two requests that arrive shortly after each other, or before a response has left. */
    @Test
    void start_idleForAMoment_waitsUntilItStaysIdle() throws InterruptedException {
        start(Duration.ofSeconds(20));
        assertFalse(finished.await(2_800, TimeUnit.MILLISECONDS));
        for (int i = 0; i < 5; i++) {
            idle.set(true);
            assertFalse(finished.await(120, TimeUnit.MILLISECONDS), "exited after a moment without requests");
            idle.set(false);
            assertFalse(finished.await(120, TimeUnit.MILLISECONDS));
        }
        idle.set(true);
        assertTrue(finished.await(10, TimeUnit.SECONDS));
    }

    /** Guards against exceeding the stop grace, after which the process is killed. */
    @Test
    void start_alwaysBusy_endsWithinGrace() throws InterruptedException {
        start(Duration.ofSeconds(4));
        assertTrue(finished.await(10, TimeUnit.SECONDS));
    }
}
