package io.daisyhoist.mesh.body;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Rest of the body of a client's request, which stays in the network until it is read. Confined to the traffic event loop. */
final class ClientBodyRest implements BodyRest {
    private final HttpServerRequest http;
    private final Deque<Buffer> parts = new ArrayDeque<>();
    private Optional<Promise<Optional<Buffer>>> reader = Optional.empty();
    private Optional<BodyAbortedException> failure = Optional.empty();
    private final long maxBytes;
    private long receivedBytes;
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
        Promise<Optional<Buffer>> promise = Promise.promise();
        reader = Optional.of(promise);
        deliver();
        if (reader.isPresent()) {
            http.fetch(1);
        }
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
            promise.complete(Optional.ofNullable(parts.pollFirst()));
        }
    }
}
