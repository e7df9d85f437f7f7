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
 * Simulated backend server with a limit of concurrent requests, cold start, load shedding, drain, suspension and
 * crash.
 *
 * <p>Serves any path. {@code /health} and {@code /load} respond from a report that lags behind the actual state. A
 * request above the current limit gets status 503 and is not executed. All state is confined to one event loop;
 * {@link #executionLog()} may be used on any thread.
 */
public final class BackendServer extends VerticleBase {
    /** Larger than any head that a daemon accepts. */
    private static final int MAX_HEADER_BYTES = 1 << 20;

    private static final String REQUEST_ID_HEADER = "Daisyhoist-Request-Id";

    private final BackendSettings settings;
    private final ExecutionLog executionLog = new ExecutionLog();
    private final FencingTokenRegistry fencingTokens = new FencingTokenRegistry();
    private final SuspendableExecutor executor = new SuspendableExecutor();
    private final ColdStartLimit coldStart;
    private final ServiceTimeDistribution serviceTime;
    private final Set<HttpConnection> connections = new HashSet<>();
    private final Set<RequestExecution> activeExecutions = new HashSet<>();
    private final Map<String, Long> sequences = new HashMap<>();
    private final AtomicLong shedCount = new AtomicLong();
    private Optional<Announcer> announcer = Optional.empty();
    private LoadReport report;
    private HttpServer server;
    private boolean draining;
    private boolean crashed;
    private volatile long incarnation;
    private volatile int port;
    private volatile int adminPort;

    private BackendServer(BackendSettings settings) {
        this.settings = settings;
        this.coldStart = new ColdStartLimit(
                settings.coldLimit(), settings.slots(), settings.warmUp().toMillis());
        this.serviceTime = new ServiceTimeDistribution(
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

    public ExecutionLog executionLog() {
        return executionLog;
    }

    /** Returns the number of requests that were rejected because no slot was free. */
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
        refreshReport();
        if (settings.port() != 0) {
            announcer.ifPresent(Announcer::send);
        }
        return listen(settings.port())
                .compose(httpServer -> new BackendAdminServer(vertx, this)
                        .listen(settings.host(), settings.adminPort())
                        .onSuccess(actual -> adminPort = actual))
                .onSuccess(ready -> startReporting());
    }

    private void startReporting() {
        announcer.ifPresent(Announcer::start);
        vertx.setPeriodic(
                Math.max(1, settings.reportLag().toMillis()), timerId -> executor.execute(this::refreshReport));
    }

    private Future<HttpServer> listen(int listenPort) {
        incarnation = ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE);
        coldStart.start(System.nanoTime());
        fencingTokens.clear();
        sequences.clear();
        HttpServerOptions options = new HttpServerOptions()
                .setHost(settings.host())
                .setPort(listenPort)
                .setMaxHeaderSize(MAX_HEADER_BYTES);
        return vertx.createHttpServer(options)
                .connectionHandler(this::handleConnection)
                .requestHandler(request -> {
                    request.pause();
                    executor.execute(() -> handle(request));
                })
                .listen()
                .onSuccess(httpServer -> {
                    server = httpServer;
                    port = httpServer.actualPort();
                    crashed = false;
                    refreshReport();
                });
    }

    private void handleConnection(HttpConnection connection) {
        if (connections.size() >= settings.maxConnections()) {
            connection.close();
            return;
        }
        connections.add(connection);
        connection.closeHandler(closed -> connections.remove(connection));
    }

    private void handle(HttpServerRequest request) {
        request.resume();
        Optional.ofNullable(request.getHeader(REQUEST_ID_HEADER))
                .ifPresent(id -> request.response().putHeader(REQUEST_ID_HEADER, id));
        switch (request.path()) {
            case "/health" -> respond(request, 200, new JsonObject().put("state", report.state()));
            case "/load" -> respond(request, 200, report.loadJson().put("age_ms", report.ageMillis(System.nanoTime())));
            default -> request.body().onSuccess(body -> executor.execute(() -> admit(request)));
        }
    }

    private void admit(HttpServerRequest request) {
        if (crashed) {
            return;
        }
        Optional<FencingToken> fencingToken = FencingToken.parse(request.getHeader(FencingToken.HEADER));
        if (settings.checksFence() && fencingToken.isPresent() && !fencingTokens.accept(fencingToken.get())) {
            request.response().putHeader("Daisyhoist-Stale-Fence", "true");
            respond(request, 412, new JsonObject().put("error", "stale-fence"));
            return;
        }
        if (activeExecutions.size() >= limit()) {
            shedCount.incrementAndGet();
            request.response().putHeader("Retry-After", "1");
            respond(request, 503, new JsonObject().put("error", "no-free-slot"));
            return;
        }
        RequestExecution execution =
                new RequestExecution(vertx, executionLog, request, fencingToken, settings, incarnation);
        activeExecutions.add(execution);
        if (request.getHeader(settings.crashHeader()) != null) {
            crash();
            return;
        }
        long sequence = sequences.merge(execution.sequenceKey(), 1L, Long::sum);
        execution.start(
                serviceTime.sampleMillis(System.nanoTime()),
                sequence,
                executor,
                () -> activeExecutions.remove(execution));
    }

    private static void respond(HttpServerRequest request, int status, JsonObject body) {
        request.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body.toBuffer());
    }

    /** Closes all connections and restarts with a new incarnation and a cold start. */
    void crash() {
        if (crashed) {
            return;
        }
        crashed = true;
        Set.copyOf(activeExecutions).forEach(execution -> execution.abort(Execution.End.CRASHED));
        activeExecutions.clear();
        announcer.ifPresent(Announcer::stop);
        Set.copyOf(connections).forEach(HttpConnection::close);
        int restartPort = port;
        server.close()
                .onComplete(closed -> vertx.setTimer(
                        Math.max(1, settings.restartDelay().toMillis()),
                        timerId -> listen(restartPort).onSuccess(restarted -> announcer.ifPresent(Announcer::start))));
    }

    void drain() {
        draining = true;
        refreshReport();
        announcer.ifPresent(Announcer::send);
    }

    /** Begins a cold start without a new incarnation. */
    void restartColdStart() {
        coldStart.start(System.nanoTime());
    }

    void slowDown(double factor, long forMillis) {
        serviceTime.slowDown(factor, System.nanoTime() + forMillis * 1_000_000);
    }

    void suspend(long forMillis) {
        executor.suspend();
        announcer.ifPresent(Announcer::stop);
        if (forMillis > 0) {
            vertx.setTimer(forMillis, timerId -> resume());
        }
    }

    void resume() {
        executor.resume();
        announcer.ifPresent(active -> {
            active.stop();
            active.start();
        });
    }

    JsonObject status() {
        return new JsonObject()
                .put("incarnation", incarnation)
                .put("state", state())
                .put("in_flight", activeExecutions.size())
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
                .put("load", report.loadJson())
                .put("age_ms", report.ageMillis(System.nanoTime()));
    }

    private void refreshReport() {
        report = new LoadReport(state(), activeExecutions.size(), limit(), System.nanoTime());
    }

    private String state() {
        if (draining) {
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
