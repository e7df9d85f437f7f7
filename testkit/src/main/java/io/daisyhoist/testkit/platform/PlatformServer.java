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
 * Stand-in for the platform's key-value service.
 *
 * <p>Serves the interface of the design page, section 9, and {@code /admin/faults} and {@code /admin/stats}, which no
 * fault affects. Revision 0 in {@code If-None-Match} stands for an absent key, so a watch can wait for its creation. All
 * calls run on one event loop; {@link #table()}, {@link #faults()} and {@link #counters()} may be used on any thread.
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

    /** Starts a server; port 0 takes a free one. */
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
        router.get(KV_PATH + "*").handler(call -> afterFaults(call, () -> read(call)));
        router.put(KV_PATH + "*").handler(call -> afterFaults(call, () -> write(call)));
        router.delete(KV_PATH + "*").handler(call -> afterFaults(call, () -> write(call)));
        HttpServerOptions options = new HttpServerOptions().setHost(host).setPort(requestedPort);
        return vertx.createHttpServer(options)
                .requestHandler(router)
                .listen()
                .map(HttpServer::actualPort)
                .onSuccess(actual -> port = actual);
    }

    private void changeFaults(RoutingContext call) {
        JsonObject change = call.body().asJsonObject();
        faults.apply(change == null ? new JsonObject() : change);
        if (faults.availability() != PlatformFaults.Availability.UP) {
            Set.copyOf(watches).forEach(Watch::abort);
        }
        call.json(faults.toJson());
    }

    private void afterFaults(RoutingContext call, Runnable step) {
        count(call);
        switch (faults.availability()) {
            case CLOSED -> call.request().connection().close();
            case UNAVAILABLE -> call.response().setStatusCode(503).end();
            default -> after(faults.delayMillis(), step);
        }
    }

    private void count(RoutingContext call) {
        long now = System.nanoTime();
        if (!call.request().method().name().equals("GET")) {
            counters.write(now);
        } else if (call.request().getParam("wait_ms") != null) {
            counters.watch(now);
        } else {
            counters.read(now);
        }
    }

    private void after(long delayMillis, Runnable step) {
        if (delayMillis > 0) {
            vertx.setTimer(delayMillis, timer -> step.run());
        } else {
            step.run();
        }
    }

    private void read(RoutingContext call) {
        Optional<Long> known = revisionOf(call.request().getHeader("If-None-Match"));
        String key = key(call);
        if (known.isEmpty() || known.get() != table.revision(key)) {
            answerValue(call, key);
            return;
        }
        long waitMillis = parseLong(call.request().getParam("wait_ms")).orElse(0L);
        if (waitMillis <= 0) {
            answerUnchanged(call, known.get());
            return;
        }
        new Watch(call, key, known.get()).begin(waitMillis);
    }

    private void answerValue(RoutingContext call, String key) {
        Optional<KeyValueTable.Entry> entry = table.get(key);
        if (entry.isEmpty()) {
            call.response().setStatusCode(404).end();
            return;
        }
        call.response()
                .putHeader("ETag", quoted(entry.get().revision()))
                .end(entry.get().value());
    }

    private static void answerUnchanged(RoutingContext call, long revision) {
        call.response().setStatusCode(304).putHeader("ETag", quoted(revision)).end();
    }

    private void write(RoutingContext call) {
        Optional<Long> expected = expectedRevision(call);
        if (expected.isEmpty()) {
            call.response().setStatusCode(428).end("If-Match or If-None-Match: * is required");
            return;
        }
        Buffer body =
                call.body().buffer() == null ? Buffer.buffer() : call.body().buffer();
        after(faults.writeDelayMillis(), () -> applyWrite(call, expected.get(), body));
    }

    private void applyWrite(RoutingContext call, long expected, Buffer body) {
        boolean deletes = call.request().method().name().equals("DELETE");
        Optional<Long> revision = deletes
                ? Optional.of(KeyValueTable.ABSENT).filter(absent -> table.delete(key(call), expected))
                : table.put(key(call), expected, body);
        if (revision.isEmpty()) {
            counters.conflict();
            call.response().setStatusCode(412).end();
            return;
        }
        if (faults.losesResponse()) {
            counters.lostResponse();
            call.request().connection().close();
            return;
        }
        if (!deletes) {
            call.response().putHeader("ETag", quoted(revision.get()));
        }
        call.response().end();
    }

    private static Optional<Long> expectedRevision(RoutingContext call) {
        if ("*".equals(call.request().getHeader("If-None-Match"))) {
            return Optional.of(KeyValueTable.ABSENT);
        }
        return revisionOf(call.request().getHeader("If-Match")).filter(revision -> revision != KeyValueTable.ABSENT);
    }

    private static Optional<Long> revisionOf(String tag) {
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

    private static String quoted(long revision) {
        return "\"" + revision + "\"";
    }

    private static String key(RoutingContext call) {
        String raw = call.request().path().substring(KV_PATH.length());
        return URLDecoder.decode(raw.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    /** One long-poll read that waits for a change. Confined to the event loop of the server. */
    private final class Watch {
        private final RoutingContext call;
        private final String key;
        private final long known;
        private final Runnable listener;
        private long timer;

        Watch(RoutingContext call, String key, long known) {
            this.call = call;
            this.key = key;
            this.known = known;
            // A test may write to the table on its own thread, so the answer returns to the event loop.
            this.listener = () -> vertx.runOnContext(nothing -> answerIfWaiting());
        }

        void begin(long waitMillis) {
            watches.add(this);
            counters.addWatchesWaiting(1);
            timer = vertx.setTimer(waitMillis, fired -> expire());
            table.onNextChange(key, listener);
            call.response().closeHandler(closed -> finish());
            if (table.revision(key) != known) {
                answerIfWaiting();
            }
        }

        void abort() {
            HttpConnection connection = call.request().connection();
            if (finish()) {
                connection.close();
            }
        }

        private void answerIfWaiting() {
            if (finish()) {
                answerValue(call, key);
            }
        }

        private void expire() {
            if (finish()) {
                answerUnchanged(call, known);
            }
        }

        private boolean finish() {
            if (!watches.remove(this)) {
                return false;
            }
            counters.addWatchesWaiting(-1);
            vertx.cancelTimer(timer);
            table.removeListener(key, listener);
            return true;
        }
    }
}
