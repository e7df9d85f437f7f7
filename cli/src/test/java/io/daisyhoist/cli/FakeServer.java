package io.daisyhoist.cli;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/** Loopback HTTP server that fakes the key-value store and a daemon's admin port and injects faults into calls. */
final class FakeServer implements AutoCloseable {
    /** Fault injected into a call. */
    enum Fault {
        /** The request is handled, but its response is lost. */
        LOSE_RESPONSE,
        /** The request is lost. */
        LOSE_REQUEST,
        /** The server responds with status 503, and the request has no effect. */
        REFUSE,
        /** No response arrives in time, and a write takes effect at {@link #deliverDelayedRequests()}. */
        DELAY,
        /** The request is handled only after a concurrent task has run. */
        RACE
    }

    private record Value(Buffer body, long revision) {}

    private record DelayedRequest(HttpServerRequest request, Buffer body) {}

    private final Vertx vertx = Vertx.vertx();
    private final HttpServer server;
    private final Map<String, Value> entries = new HashMap<>();
    private final Map<String, String> adminResponses = new HashMap<>();
    private final Queue<Fault> readFaults = new ArrayDeque<>();
    private final Queue<Fault> writeFaults = new ArrayDeque<>();
    private Runnable concurrentTask = () -> {};
    private final Queue<DelayedRequest> delayedRequests = new ArrayDeque<>();
    private long lastRevision = 100;

    FakeServer() {
        server = vertx.createHttpServer().requestHandler(this::accept);
        server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(10, TimeUnit.SECONDS)
                .join();
    }

    String url() {
        return "http://127.0.0.1:" + server.actualPort();
    }

    synchronized void failReads(Fault fault, int count) {
        for (int i = 0; i < count; i++) {
            readFaults.add(fault);
        }
    }

    synchronized void failWrites(Fault fault, int count) {
        for (int i = 0; i < count; i++) {
            writeFaults.add(fault);
        }
    }

    /** Runs a task after the next write is sent and before it takes effect. */
    synchronized void runDuringNextWrite(Runnable task) {
        concurrentTask = task;
        writeFaults.add(Fault.RACE);
    }

    synchronized void setAdminResponse(String methodAndPath, String body) {
        adminResponses.put(methodAndPath, body);
    }

    synchronized void putValue(String key, String body) {
        entries.put("/v1/kv/" + key, new Value(Buffer.buffer(body), ++lastRevision));
    }

    /** Handles the delayed requests, after their senders' timeouts. */
    synchronized void deliverDelayedRequests() {
        delayedRequests.forEach(delayed -> handle(delayed.request(), delayed.body()));
        delayedRequests.clear();
    }

    @Override
    public void close() {
        vertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(10, TimeUnit.SECONDS)
                .join();
    }

    private void accept(HttpServerRequest request) {
        request.bodyHandler(body -> dispatch(request, body));
    }

    private synchronized void dispatch(HttpServerRequest request, Buffer body) {
        if (!request.path().startsWith("/v1/kv/")) {
            respondToAdminRequest(request);
            return;
        }
        Fault fault = (request.method() == HttpMethod.PUT ? writeFaults : readFaults).poll();
        if (fault == null) {
            handle(request, body);
            return;
        }
        switch (fault) {
            case LOSE_RESPONSE -> {
                applyWrite(request, body);
                request.connection().close();
            }
            case LOSE_REQUEST -> request.connection().close();
            case REFUSE -> request.response().setStatusCode(503).end();
            case DELAY -> delayedRequests.add(new DelayedRequest(request, body));
            default -> {
                delayedRequests.add(new DelayedRequest(request, body));
                Runnable task = concurrentTask;
                new Thread(() -> {
                            task.run();
                            deliverDelayedRequests();
                        })
                        .start();
            }
        }
    }

    private void handle(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.PUT) {
            int status = applyWrite(request, body);
            respond(request.response().setStatusCode(status), entries.get(request.path()), false);
            return;
        }
        Value value = entries.get(request.path());
        respond(request.response().setStatusCode(value == null ? 404 : 200), value, true);
    }

    private static void respond(HttpServerResponse response, Value value, boolean withBody) {
        if (response.closed()) {
            return;
        }
        if (value != null) {
            response.putHeader("ETag", "\"" + value.revision() + "\"");
        }
        response.end(value != null && withBody ? value.body() : Buffer.buffer());
    }

    private int applyWrite(HttpServerRequest request, Buffer body) {
        Value value = entries.get(request.path());
        String expectedTag = request.getHeader("If-Match");
        boolean matches = expectedTag == null
                ? value == null && "*".equals(request.getHeader("If-None-Match"))
                : value != null && expectedTag.equals("\"" + value.revision() + "\"");
        if (matches) {
            entries.put(request.path(), new Value(body, ++lastRevision));
        }
        return matches ? 200 : 412;
    }

    private void respondToAdminRequest(HttpServerRequest request) {
        String body = adminResponses.get(request.method() + " " + request.uri());
        int successStatus = request.method() == HttpMethod.POST ? 202 : 200;
        request.response().setStatusCode(body == null ? 404 : successStatus).end(body == null ? "{}" : body);
    }
}
