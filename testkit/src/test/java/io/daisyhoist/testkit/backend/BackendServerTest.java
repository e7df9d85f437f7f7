package io.daisyhoist.testkit.backend;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.TestHttpClient;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class BackendServerTest {
    private static final BackendSettings DEFAULTS = BackendSettings.forTest("archive");

    private Vertx vertx;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx();
    }

    @AfterEach
    void stop() {
        Futures.awaitResult(vertx.close());
    }

    /** Guards against a response that does not identify its request and server. */
    @Test
    void request_keyed_responseIdentifiesRequestAndServer() {
        BackendServer server = startServer(2, 6, Duration.ZERO, Optional.empty());
        String body = get(server, "X-Request-Id", "r.0").body();
        ResponseBody parsed = ResponseBody.parse(body).orElseThrow();
        assertEquals(List.of("archive", "dish-7", "r.0"), List.of(parsed.service(), parsed.key(), parsed.requestId()));
        assertEquals(server.incarnation(), parsed.incarnation());
        assertTrue(ResponseBody.parse(body.replace("r.0", "r.1")).isEmpty(), "a modified body must be rejected");
    }

    /** Guards against a fencing check that accepts an old epoch or records the rejected request as executed. */
    @Test
    void fencingToken_lowerEpoch_isRejectedAndNotExecuted() {
        BackendServer server = startServer(2, 6, Duration.ZERO, Optional.empty());
        assertEquals(200, get(server, "Daisyhoist-Fence", "archive/3:9").statusCode());
        HttpResponse<String> stale = get(server, "Daisyhoist-Fence", "archive/3:8");
        assertEquals(412, stale.statusCode());
        assertEquals(Optional.of("true"), stale.headers().firstValue("Daisyhoist-Stale-Fence"));
        assertEquals(200, get(server, "Daisyhoist-Fence", "archive/4:8").statusCode());
        assertEquals(
                List.of(9L, 8L),
                server.executionLog().entriesSince(0).stream()
                        .map(Execution::epoch)
                        .toList());
    }

    /** Guards against a cold start that accepts full load, and against shed requests recorded as executed. */
    @Test
    void coldStart_aboveLimit_sheds() {
        BackendServer server = startServer(500, 1, Duration.ofSeconds(60), Optional.empty());
        CompletableFuture<HttpResponse<String>> first = TestHttpClient.sendAsync("GET", requestUrl(server), "");
        await().until(() -> server.executionLog().entriesSince(0).size() == 1);
        assertEquals(503, get(server).statusCode());
        assertEquals(200, first.join().statusCode());
        assertEquals(1, server.executionLog().entriesSince(0).size());
    }

    /** Guards against a crash that leaves connections open or keeps the incarnation. */
    @Test
    void crash_byCrashHeader_closesConnectionsAndRestartsWithNewIncarnation() {
        BackendServer server = startServer(5_000, 6, Duration.ZERO, Optional.empty());
        long before = server.incarnation();
        CompletableFuture<HttpResponse<String>> other = TestHttpClient.sendAsync("GET", requestUrl(server), "");
        await().until(() -> server.executionLog().entriesSince(0).size() == 1);
        CompletableFuture<HttpResponse<String>> crashing =
                TestHttpClient.sendAsync("GET", requestUrl(server), "", BackendSettings.DEFAULT_CRASH_HEADER, "1");
        await().until(() -> other.isCompletedExceptionally() && crashing.isCompletedExceptionally());
        await().until(() -> server.incarnation() != before);
        assertEquals(
                200, TestHttpClient.send("GET", baseUrl(server) + "/health", "").statusCode());
        server.executionLog()
                .entriesSince(0)
                .forEach(execution -> assertEquals(Execution.End.CRASHED, execution.end()));
    }

    /** Guards against a cancelled request that keeps its slot, and against an execution that exceeds its deadline. */
    @Test
    void execution_cancelledOrLate_freesItsSlot() {
        BackendServer server = startServer(20_000, 1, Duration.ofSeconds(60), Optional.empty());
        HttpClient client = vertx.createHttpClient();
        client.request(HttpMethod.GET, server.port(), "127.0.0.1", "/s/archive/k/dish-7")
                .onSuccess(request -> {
                    request.send();
                    vertx.setTimer(100, fired -> request.connection().close());
                });
        await().until(() -> executionEnds(server).equals(List.of(Execution.End.CANCELLED)));
        assertEquals(504, get(server, "Daisyhoist-Deadline-Ms", "50").statusCode());
        assertEquals(List.of(Execution.End.CANCELLED, Execution.End.DEADLINE), executionEnds(server));
    }

    /** Guards against a start or drain that is not announced to the daemon. */
    @Test
    void announcement_afterStartAndDrain_showsState() {
        List<JsonObject> announcements = new CopyOnWriteArrayList<>();
        HttpServer daemon = Futures.awaitResult(vertx.createHttpServer()
                .requestHandler(request -> request.body().onSuccess(body -> {
                    announcements.add(body.toJsonObject());
                    request.response().end();
                }))
                .listen(0, "127.0.0.1"));
        BackendServer server = startServer(2, 6, Duration.ZERO, Optional.of("http://127.0.0.1:" + daemon.actualPort()));
        await().until(() -> !announcements.isEmpty());
        assertEquals("ready", announcements.get(0).getString("state"));
        assertEquals(server.port(), announcements.get(0).getInteger("port"));
        TestHttpClient.send("POST", "http://127.0.0.1:" + server.adminPort() + "/admin/drain", "");
        await().until(() ->
                announcements.get(announcements.size() - 1).getString("state").equals("leaving"));
    }

    private BackendServer startServer(int serviceMillis, int coldLimit, Duration warmUp, Optional<String> daemonAdmin) {
        BackendSettings settings = new BackendSettings(
                DEFAULTS.service(),
                DEFAULTS.host(),
                0,
                0,
                daemonAdmin,
                6,
                110,
                serviceMillis,
                0,
                coldLimit,
                warmUp,
                Duration.ofMillis(100),
                true,
                DEFAULTS.crashHeader(),
                Duration.ofMillis(100),
                64,
                1);
        return Futures.awaitResult(BackendServer.start(vertx, settings));
    }

    private static List<Execution.End> executionEnds(BackendServer server) {
        return server.executionLog().entriesSince(0).stream()
                .map(Execution::end)
                .toList();
    }

    private static HttpResponse<String> get(BackendServer server, String... headers) {
        return TestHttpClient.send("GET", requestUrl(server), "", headers);
    }

    private static String requestUrl(BackendServer server) {
        return baseUrl(server) + "/s/archive/k/dish-7/history";
    }

    private static String baseUrl(BackendServer server) {
        return "http://127.0.0.1:" + server.port();
    }
}
