package io.daisyhoist.testkit;

import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;

/** Blocking waits for tests. Stateless. */
public final class Futures {
    private static final long TIMEOUT_SECONDS = 60;

    private Futures() {}

    /** Waits for the result. Must not be called on an event loop. */
    public static <T> T awaitResult(Future<T> future) {
        return future.toCompletionStage()
                .toCompletableFuture()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }
}
