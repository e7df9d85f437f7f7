package io.daisyhoist.testkit.backend;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;

/**
 * Stand-in for a backend server: runs requests in slots, starts cold, sheds load, drains, freezes and crashes.
 *
 * <p>Any path is served. {@code /health} and {@code /load} answer from a report that lags. A request above the present
 * limit gets 503 and does not run. All state is confined to one event loop; {@link #executions()} may be used on any
 * thread.
 */
public final class BackendServer extends VerticleBase {
    private final BackendSettings settings;
    private final ExecutionLog executions = new ExecutionLog();
    private final FenceRegister fences = new FenceRegister();
    private final Freezer freezer = new Freezer();
    private final ColdStart coldStart;
    private final ServiceTime serviceTime;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<BackendRun> runs = new HashSet<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final AtomicLong shedCount = new AtomicLong();
    private Optional<Announcer> announcer = Optional.empty();
    private LoadReport report;
    private HttpServer server;
    private boolean leaving;
    private boolean crashed;
    private volatile long incarnation;
    private volatile int port;
    private volatile int adminPort;

    private BackendServer(BackendSettings settings) {
        this.settings = settings;
        this.coldStart = new ColdStart(
                settings.coldLimit(), settings.slots(), settings.warmUp().toMillis());
        this.serviceTime = new ServiceTime(
                settings.serviceTimeMillis(), settings.serviceTimeSpread(), new Random(settings.seed()));
    }

    /** Starts a server. */
    public static Future<BackendServer> start(Vertx vertx, BackendSettings settings) {
        BackendServer server = new BackendServer(settings);
        return vertx.deployVerticle(server).map(server);
    }

    public int port() {
        return port;
    }

    public int adminPort() {
        return adminPort;
    }

    public long incarnation() {
        return incarnation;
    }

    public ExecutionLog executions() {
        return executions;
    }

    /** Returns the number of requests that were refused for lack of a free slot. */
    public long shedCount() {
        return shedCount.get();
    }

    /** Stops the server and closes its connections. */
    public Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    @Override
    public Future<?> start() {
        announcer = settings.daemonAdmin().map(url -> new Announcer(vertx, url, this::announcement));
        takeReport();
        if (settings.port() != 0) {
            announcer.ifPresent(Announcer::send);
        }
        return listen(settings.port())
                .compose(listening -> new BackendAdmin(vertx, this)
                        .listen(settings.host(), settings.adminPort())
                        .onSuccess(actual -> adminPort = actual))
                .onSuccess(ready -> beginReports());
    }

    private void beginReports() {
        announcer.ifPresent(Announcer::begin);
        vertx.setPeriodic(Math.max(1, settings.reportLag().toMillis()), fired -> freezer.run(this::takeReport));
    }

    private Future<HttpServer> listen(int listenPort) {
        incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        coldStart.begin(System.nanoTime());
        fences.clear();
        sequences.clear();
        HttpServerOptions options =
                new HttpServerOptions().setHost(settings.host()).setPort(listenPort);
        return vertx.createHttpServer(options)
                .connectionHandler(this::connected)
                .requestHandler(request -> {
                    request.pause();
                    freezer.run(() -> handle(request));
                })
                .listen()
                .onSuccess(listening -> {
                    server = listening;
                    port = listening.actualPort();
                    crashed = false;
                    takeReport();
                });
    }

    private void connected(HttpConnection connection) {
        if (connections.size() >= settings.maxConnections()) {
            connection.close();
            return;
        }
        connections.add(connection);
        connection.closeHandler(closed -> connections.remove(connection));
    }

    private void handle(HttpServerRequest request) {
        request.resume();
        switch (request.path()) {
            case "/health" -> answer(request, 200, new JsonObject().put("state", report.state()));
            case "/load" -> answer(request, 200, report.load().put("age_ms", report.ageMillis(System.nanoTime())));
            default -> request.body().onSuccess(body -> freezer.run(() -> admit(request)));
        }
    }

    private void admit(HttpServerRequest request) {
        if (crashed) {
            return;
        }
        Optional<FenceToken> fence = FenceToken.parse(request.getHeader(FenceToken.HEADER));
        if (settings.checksFence() && fence.isPresent() && !fences.admits(fence.get())) {
            request.response().putHeader("Daisyhoist-Stale-Fence", "true");
            answer(request, 412, new JsonObject().put("error", "stale-fence"));
            return;
        }
        if (runs.size() >= limit()) {
            shedCount.incrementAndGet();
            request.response().putHeader("Retry-After", "1");
            answer(request, 503, new JsonObject().put("error", "no-free-slot"));
            return;
        }
        BackendRun run = new BackendRun(vertx, executions, request, fence, settings, incarnation);
        runs.add(run);
        if (request.getHeader(settings.crashHeader()) != null) {
            crash();
            return;
        }
        long sequence = sequences.merge(run.sequenceKey(), 1L, Long::sum);
        run.begin(serviceTime.sampleMillis(System.nanoTime()), sequence, freezer, () -> runs.remove(run));
    }

    private static void answer(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }

    /** Drops all connections and comes back with a new incarnation and a cold start. */
    void crash() {
        if (crashed) {
            return;
        }
        crashed = true;
        Set.copyOf(runs).forEach(run -> run.abandon(Execution.End.CRASHED));
        runs.clear();
        announcer.ifPresent(Announcer::stop);
        Set.copyOf(connections).forEach(HttpConnection::close);
        int samePort = port;
        server.close()
                .onComplete(closed -> vertx.setTimer(
                        Math.max(1, settings.restartDelay().toMillis()),
                        fired -> listen(samePort).onSuccess(again -> announcer.ifPresent(Announcer::begin))));
    }

    void drain() {
        leaving = true;
        takeReport();
        announcer.ifPresent(Announcer::send);
    }

    /** Falls back into a cold start without a new incarnation. */
    void goCold() {
        coldStart.begin(System.nanoTime());
    }

    void slowDown(double factor, long forMillis) {
        serviceTime.slowDown(factor, System.nanoTime() + forMillis * 1_000_000);
    }

    void freeze(long forMillis) {
        freezer.freeze();
        announcer.ifPresent(Announcer::stop);
        if (forMillis > 0) {
            vertx.setTimer(forMillis, fired -> resume());
        }
    }

    void resume() {
        freezer.resume();
        announcer.ifPresent(known -> {
            known.stop();
            known.begin();
        });
    }

    JsonObject status() {
        return new JsonObject()
                .put("incarnation", incarnation)
                .put("state", state())
                .put("in_flight", runs.size())
                .put("limit", limit())
                .put("connections", connections.size())
                .put("shed", shedCount())
                .put("port", port);
    }

    private JsonObject announcement() {
        return new JsonObject()
                .put("service", settings.service())
                .put("incarnation", incarnation)
                .put("port", port == 0 ? settings.port() : port)
                .put("state", report.state())
                .put("load", report.load())
                .put("age_ms", report.ageMillis(System.nanoTime()));
    }

    private void takeReport() {
        report = new LoadReport(state(), runs.size(), limit(), System.nanoTime());
    }

    private String state() {
        if (leaving) {
            return "leaving";
        }
        return port == 0 ? "starting" : "ready";
    }

    private int limit() {
        return coldStart.limit(System.nanoTime());
    }

    static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }
}
