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

/** Key-value store and admin port in one loopback HTTP server, with faults for the calls that follow. */
final class FakePeers implements AutoCloseable {
    /** What happens to a call. */
    enum Fault {
        /** The call is handled, but its response is lost. */
        LOSE_RESPONSE,
        /** The call is lost. */
        LOSE_REQUEST,
        /** The call is answered with status 503 without an effect. */
        REFUSE,
        /** The call gets no response in time, and a write takes effect at {@link #deliverLate()}. */
        DELAY,
        /** The call waits until another program has run. */
        RACE
    }

    private record Value(Buffer body, long revision) {}

    private record Late(HttpServerRequest request, Buffer body) {}

    private final Vertx vertx = Vertx.vertx();
    private final HttpServer server;
    private final Map<String, Value> values = new HashMap<>();
    private final Map<String, String> admin = new HashMap<>();
    private final Queue<Fault> readFaults = new ArrayDeque<>();
    private final Queue<Fault> writeFaults = new ArrayDeque<>();
    private Runnable rival = () -> {};
    private final Queue<Late> late = new ArrayDeque<>();
    private long revisions = 100;

    FakePeers() {
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

    /** Runs another program between the sending and the effect of the next write. */
    synchronized void race(Runnable program) {
        rival = program;
        writeFaults.add(Fault.RACE);
    }

    synchronized void answer(String methodAndPath, String body) {
        admin.put(methodAndPath, body);
    }

    synchronized void replace(String key, String body) {
        values.put("/v1/kv/" + key, new Value(Buffer.buffer(body), ++revisions));
    }

    /** Lets delayed writes take effect, long after their senders stopped waiting. */
    synchronized void deliverLate() {
        late.forEach(one -> handle(one.request(), one.body()));
        late.clear();
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
            answerAdmin(request);
            return;
        }
        Fault fault = (request.method() == HttpMethod.PUT ? writeFaults : readFaults).poll();
        if (fault == null) {
            handle(request, body);
            return;
        }
        switch (fault) {
            case LOSE_RESPONSE -> {
                apply(request, body);
                request.connection().close();
            }
            case LOSE_REQUEST -> request.connection().close();
            case REFUSE -> request.response().setStatusCode(503).end();
            case DELAY -> late.add(new Late(request, body));
            default -> {
                late.add(new Late(request, body));
                Runnable program = rival;
                new Thread(() -> {
                            program.run();
                            deliverLate();
                        })
                        .start();
            }
        }
    }

    private void handle(HttpServerRequest request, Buffer body) {
        if (request.method() == HttpMethod.PUT) {
            int status = apply(request, body);
            respond(request.response().setStatusCode(status), values.get(request.path()), false);
            return;
        }
        Value value = values.get(request.path());
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

    private int apply(HttpServerRequest request, Buffer body) {
        Value value = values.get(request.path());
        String expected = request.getHeader("If-Match");
        boolean matches = expected == null
                ? value == null && "*".equals(request.getHeader("If-None-Match"))
                : value != null && expected.equals("\"" + value.revision() + "\"");
        if (matches) {
            values.put(request.path(), new Value(body, ++revisions));
        }
        return matches ? 200 : 412;
    }

    private void answerAdmin(HttpServerRequest request) {
        String body = admin.get(request.method() + " " + request.uri());
        int found = request.method() == HttpMethod.POST ? 202 : 200;
        request.response().setStatusCode(body == null ? 404 : found).end(body == null ? "{}" : body);
    }
}
