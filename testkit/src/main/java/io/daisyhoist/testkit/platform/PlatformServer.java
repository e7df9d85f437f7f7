package io.daisyhoist.testkit.platform;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * Simulated key-value store of the platform.
 *
 * <p>Implements the interface in section 9 of the design page, and {@code /admin/faults} and {@code /admin/stats},
 * which are exempt from faults. Revision 0 in {@code If-None-Match} denotes an absent key, so a watch can wait for its
 * creation. All calls run on one event loop; {@link #table()}, {@link #faults()} and {@link #counters()} may be
 * used on any thread.
 */
public final class PlatformServer extends VerticleBase {
    private static final String KV_PATH = "/v1/kv/";
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private final String host;
    private final int requestedPort;
    private final KeyValueTable table = new KeyValueTable();
    private final PlatformFaults faults = new PlatformFaults(new Random(1));
    private final CallCounters counters = new CallCounters();
    private final Set<Watch> watches = new HashSet<>();
    private volatile int port;

    private PlatformServer(String host, int port) {
        this.host = host;
        this.requestedPort = port;
    }

    /** Starts a server; port 0 selects a free one. */
    public static Future<PlatformServer> start(Vertx vertx, String host, int port) {
        PlatformServer server = new PlatformServer(host, port);
        return vertx.deployVerticle(server).map(server);
    }

    public int port() {
        return port;
    }

    public KeyValueTable table() {
        return table;
    }

    public PlatformFaults faults() {
        return faults;
    }

    public CallCounters counters() {
        return counters;
    }

    /** Stops the server and closes its connections. */
    public Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    @Override
    public Future<?> start() {
        Router router = Router.router(vertx);
        router.get("/admin/stats").handler(call -> call.json(counters.toJson(System.nanoTime())));
        router.get("/admin/faults").handler(call -> call.json(faults.toJson()));
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_VALUE_BYTES));
        router.post("/admin/faults").handler(this::changeFaults);
        router.get(KV_PATH + "*").handler(call -> applyFaults(call, () -> handleRead(call)));
        router.put(KV_PATH + "*").handler(call -> applyFaults(call, () -> handleWrite(call)));
        router.delete(KV_PATH + "*").handler(call -> applyFaults(call, () -> handleWrite(call)));
        HttpServerOptions options = new HttpServerOptions().setHost(host).setPort(requestedPort);
        return vertx.createHttpServer(options)
                .requestHandler(router)
                .listen()
                .map(HttpServer::actualPort)
                .onSuccess(actual -> port = actual);
    }

    private void changeFaults(RoutingContext call) {
        JsonObject change = call.body().asJsonObject();
        faults.update(change == null ? new JsonObject() : change);
        if (faults.availability() != PlatformFaults.Availability.UP) {
            Set.copyOf(watches).forEach(Watch::abort);
        }
        call.json(faults.toJson());
    }

    private void applyFaults(RoutingContext call, Runnable task) {
        countCall(call);
        switch (faults.availability()) {
            case CLOSED -> call.request().connection().close();
            case UNAVAILABLE -> call.response().setStatusCode(503).end();
            default -> runAfter(faults.delayMillis(), task);
        }
    }

    private void countCall(RoutingContext call) {
        long now = System.nanoTime();
        if (!call.request().method().name().equals("GET")) {
            counters.countWrite(now);
        } else if (call.request().getParam("wait_ms") != null) {
            counters.countWatch(now);
        } else {
            counters.countRead(now);
        }
    }

    private void runAfter(long delayMillis, Runnable task) {
        if (delayMillis > 0) {
            vertx.setTimer(delayMillis, timer -> task.run());
        } else {
            task.run();
        }
    }

    private void handleRead(RoutingContext call) {
        Optional<Long> knownRevision = parseRevision(call.request().getHeader("If-None-Match"));
        String key = keyOf(call);
        if (knownRevision.isEmpty() || knownRevision.get() != table.revision(key)) {
            respondWithValue(call, key);
            return;
        }
        long waitMillis = parseLong(call.request().getParam("wait_ms")).orElse(0L);
        if (waitMillis <= 0) {
            respondNotModified(call, knownRevision.get());
            return;
        }
        new Watch(call, key, knownRevision.get()).start(waitMillis);
    }

    private void respondWithValue(RoutingContext call, String key) {
        Optional<KeyValueTable.Entry> entry = table.get(key);
        if (entry.isEmpty()) {
            call.response().setStatusCode(404).end();
            return;
        }
        call.response()
                .putHeader("ETag", toETag(entry.get().revision()))
                .end(entry.get().value());
    }

    private static void respondNotModified(RoutingContext call, long revision) {
        call.response().setStatusCode(304).putHeader("ETag", toETag(revision)).end();
    }

    private void handleWrite(RoutingContext call) {
        Optional<Long> expected = expectedRevision(call);
        if (expected.isEmpty()) {
            call.response().setStatusCode(428).end("If-Match or If-None-Match: * is required");
            return;
        }
        Buffer body =
                call.body().buffer() == null ? Buffer.buffer() : call.body().buffer();
        runAfter(faults.writeDelayMillis(), () -> applyWrite(call, expected.get(), body));
    }

    private void applyWrite(RoutingContext call, long expected, Buffer body) {
        boolean isDelete = call.request().method().name().equals("DELETE");
        Optional<Long> revision = isDelete
                ? Optional.of(KeyValueTable.ABSENT).filter(absent -> table.delete(keyOf(call), expected))
                : table.put(keyOf(call), expected, body);
        if (revision.isEmpty()) {
            counters.countConflict();
            call.response().setStatusCode(412).end();
            return;
        }
        if (faults.shouldLoseResponse()) {
            counters.countLostResponse();
            call.request().connection().close();
            return;
        }
        if (!isDelete) {
            call.response().putHeader("ETag", toETag(revision.get()));
        }
        call.response().end();
    }

    private static Optional<Long> expectedRevision(RoutingContext call) {
        if ("*".equals(call.request().getHeader("If-None-Match"))) {
            return Optional.of(KeyValueTable.ABSENT);
        }
        return parseRevision(call.request().getHeader("If-Match")).filter(revision -> revision != KeyValueTable.ABSENT);
    }

    private static Optional<Long> parseRevision(String tag) {
        if (tag == null || tag.length() < 2 || !tag.startsWith("\"") || !tag.endsWith("\"")) {
            return Optional.empty();
        }
        return parseLong(tag.substring(1, tag.length() - 1));
    }

    private static Optional<Long> parseLong(String text) {
        if (text == null || !text.matches("[0-9]{1,18}")) {
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }

    private static String toETag(long revision) {
        return "\"" + revision + "\"";
    }

    private static String keyOf(RoutingContext call) {
        String raw = call.request().path().substring(KV_PATH.length());
        return URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    /** A long-poll read that waits for a change. Confined to the event loop of the server. */
    private final class Watch {
        private final RoutingContext call;
        private final String key;
        private final long knownRevision;
        private final Runnable listener;
        private long timerId;

        Watch(RoutingContext call, String key, long knownRevision) {
            this.call = call;
            this.key = key;
            this.knownRevision = knownRevision;
            // Tests may write to the table on their own thread, so the response is sent from the event loop.
            this.listener = () -> vertx.runOnContext(ignored -> respondIfPending());
        }

        void start(long waitMillis) {
            watches.add(this);
            counters.addPendingWatches(1);
            timerId = vertx.setTimer(waitMillis, fired -> expire());
            table.onNextChange(key, listener);
            call.response().closeHandler(closed -> complete());
            if (table.revision(key) != knownRevision) {
                respondIfPending();
            }
        }

        void abort() {
            HttpConnection connection = call.request().connection();
            if (complete()) {
                connection.close();
            }
        }

        private void respondIfPending() {
            if (complete()) {
                respondWithValue(call, key);
            }
        }

        private void expire() {
            if (complete()) {
                respondNotModified(call, knownRevision);
            }
        }

        private boolean complete() {
            if (!watches.remove(this)) {
                return false;
            }
            counters.addPendingWatches(-1);
            vertx.cancelTimer(timerId);
            table.removeListener(key, listener);
            return true;
        }
    }
}
