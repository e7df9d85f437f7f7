package io.daisyhoist.mesh.telemetry;

import java.time.Duration;

import io.daisyhoist.core.time.SystemTimeSource;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;

class EventLoopDelayTest {
    private static final long PAUSE_MILLIS = 600;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final EventLoopDelay delay = new EventLoopDelay(vertx, new SystemTimeSource());

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against incidents in which the logs don't show that a daemon was late. */
    @Test
    void latest_eventLoopPaused_isLengthOfThePause() {
        context.runOnContext(run -> {
            delay.start();
            pause();
        });
        await().until(() -> delay.latest().compareTo(Duration.ofMillis(PAUSE_MILLIS / 2)) > 0);
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
