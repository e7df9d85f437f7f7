package io.daisyhoist.mesh.request;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;

/**
 * Delays work until the event loop has polled its connections once more.
 *
 * <p>A late event loop reads a request before the disconnect that follows it on the same connection, although both have
 * arrived; after another poll the disconnect has been processed too. Confined to one event loop.
 */
final class PollBarrier {
    private final Vertx vertx;
    private Optional<Promise<Void>> currentPoll = Optional.empty();

    PollBarrier(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Returns a future that completes after the next poll. */
    Future<Void> afterNextPoll() {
        if (currentPoll.isEmpty()) {
            currentPoll = Optional.of(schedule((ContextInternal) vertx.getOrCreateContext()));
        }
        return currentPoll.get().future();
    }

    /** A timer that is set by a task of the event loop is not due before the loop has polled again. */
    private Promise<Void> schedule(ContextInternal context) {
        Promise<Void> polled = Promise.promise();
        EventLoop eventLoop = context.nettyEventLoop();
        eventLoop.execute(() -> {
            currentPoll = Optional.empty();
            eventLoop.schedule(() -> context.runOnContext(run -> polled.complete()), 0, TimeUnit.NANOSECONDS);
        });
        return polled;
    }
}
