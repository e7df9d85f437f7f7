package io.daisyhoist.mesh.body;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;

/** Rest of the body of a client's request, which stays in the network until it is read. Confined to the traffic event loop. */
final class ClientBodyRest implements BodyRest {
    /** The HTTP decoder makes parts of 8 KiB at most; these together are one chunk for another daemon. */
    private static final int MAX_PARTS = BodyLimits.CHUNK_BYTES / HttpServerOptions.DEFAULT_MAX_CHUNK_SIZE;

    private final HttpServerRequest http;
    private final Deque<Buffer> parts = new ArrayDeque<>();
    private Optional<Promise<Optional<Buffer>>> reader = Optional.empty();
    private Optional<BodyAbortedException> failure = Optional.empty();
    private final long maxBytes;
    private long receivedBytes;
    private int demand;
    private boolean ended;
    private boolean started;

    /**
     * Creates the rest of a body whose request is paused.
     *
     * @param maxBytes maximum length of the rest
     */
    ClientBodyRest(HttpServerRequest http, long maxBytes) {
        this.http = http;
        this.maxBytes = maxBytes;
        http.handler(this::onPart);
        http.endHandler(end -> onEnd());
        http.exceptionHandler(lost -> fail("client has disconnected"));
    }

    @Override
    public Future<Void> open() {
        return failure.<Future<Void>>map(Future::failedFuture).orElseGet(Future::succeededFuture);
    }

    @Override
    public Future<Optional<Buffer>> read() {
        started = true;
        int missingDemand = MAX_PARTS - demand - parts.size();
        if (missingDemand > 0 && failure.isEmpty() && !ended) {
            demand += missingDemand;
            // Parts that have arrived already are delivered before this returns, and then together.
            http.fetch(missingDemand);
        }
        Promise<Optional<Buffer>> promise = Promise.promise();
        reader = Optional.of(promise);
        deliver();
        return promise.future();
    }

    @Override
    public boolean isStarted() {
        return started;
    }

    long readBytes() {
        return receivedBytes;
    }

    boolean isEnded() {
        return ended;
    }

    /** Ends a read that waits, and fails all further ones. */
    void close() {
        fail("request has ended");
    }

    private void onPart(Buffer part) {
        demand--;
        receivedBytes += part.length();
        if (receivedBytes > maxBytes) {
            fail("body exceeds the size limit");
            return;
        }
        parts.addLast(part);
        deliver();
    }

    private void onEnd() {
        ended = true;
        deliver();
    }

    private void fail(String reason) {
        if (failure.isEmpty() && !ended) {
            failure = Optional.of(new BodyAbortedException(reason));
            parts.clear();
        }
        deliver();
    }

    private void deliver() {
        if (reader.isEmpty() || failure.isEmpty() && parts.isEmpty() && !ended) {
            return;
        }
        Promise<Optional<Buffer>> promise = reader.get();
        reader = Optional.empty();
        if (failure.isPresent()) {
            promise.fail(failure.get());
        } else {
            promise.complete(takeParts());
        }
    }

    private Optional<Buffer> takeParts() {
        if (parts.size() <= 1) {
            return Optional.ofNullable(parts.pollFirst());
        }
        Buffer together = Buffer.buffer(BodyLimits.CHUNK_BYTES);
        parts.forEach(together::appendBuffer);
        parts.clear();
        return Optional.of(together);
    }
}
