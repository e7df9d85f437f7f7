package io.daisyhoist.daemon.request;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the admin port, which serves operators and receives announcements. */
class AdminRoutesTest {
    private static final String ANNOUNCEMENT = "{\"service\":\"pickup\",\"incarnation\":9007199254740993,\"port\":8080,"
            + "\"state\":\"ready\",\"load\":{\"in_flight\":2,\"slots\":6},\"age_ms\":40}";

    private final Vertx vertx = Vertx.vertx();
    private final List<Announcement> announced = new ArrayList<>();
    private volatile Optional<String> notReady = Optional.of("no configuration");
    private final int port = start();

    private int start() {
        AdminHandler handler = new AdminHandler() {
            @Override
            public Optional<String> unhealthyReason() {
                return Optional.empty();
            }

            @Override
            public Optional<String> notReadyReason() {
                return notReady;
            }

            @Override
            public Future<JsonObject> status() {
                return Future.failedFuture(new IllegalStateException("fault"));
            }

            @Override
            public Future<Optional<JsonObject>> owner(ServiceName service, String key) {
                return Future.succeededFuture(
                        service.name().equals("pickup")
                                ? Optional.of(new JsonObject().put("key", key))
                                : Optional.empty());
            }

            @Override
            public Future<JsonObject> drain() {
                return Future.succeededFuture(new JsonObject().put("state", "leaving"));
            }

            @Override
            public Future<Void> announce(Announcement announcement) {
                announced.add(announcement);
                return Future.succeededFuture();
            }
        };
        return vertx.createHttpServer()
                .requestHandler(new AdminRoutes(handler, () -> "daisyhoist_x 1\n").router(vertx))
                .listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private HttpResponse<String> call(String method, String path, String body) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
                                .timeout(Duration.ofSeconds(5))
                                .method(method, HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void get_routes_respond() throws Exception {
        assertEquals(200, call("GET", "/health", "").statusCode());
        assertEquals(503, call("GET", "/ready", "").statusCode());
        notReady = Optional.empty();
        assertEquals(200, call("GET", "/ready", "").statusCode());
        assertEquals("daisyhoist_x 1\n", call("GET", "/metrics", "").body());
        assertTrue(
                call("GET", "/v1/owner?service=pickup&key=bin%2F7", "").body().contains("bin/7"));
        assertEquals(404, call("GET", "/v1/owner?service=other&key=a", "").statusCode());
        assertEquals(400, call("GET", "/v1/owner?service=pickup", "").statusCode());
        assertEquals(500, call("GET", "/v1/status", "").statusCode());
        assertEquals(200, call("POST", "/v1/drain", "").statusCode());
    }

    @Test
    void announce_valid_reachesTheHandler() throws Exception {
        assertEquals(204, call("POST", "/v1/announce", ANNOUNCEMENT).statusCode());
        assertEquals(
                new Announcement(
                        new ServiceName("pickup"),
                        9007199254740993L,
                        8080,
                        Announcement.State.READY,
                        2,
                        6,
                        Duration.ofMillis(40)),
                announced.get(0));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"service\":\"pickup\"}",
                "{\"service\":7,\"incarnation\":1,\"port\":1,\"state\":\"ready\",\"load\":{\"slots\":1}}",
                "{\"service\":\"pickup\",\"incarnation\":1,\"port\":70000,\"state\":\"ready\",\"load\":{\"slots\":1}}",
                "{\"service\":\"pickup\",\"incarnation\":1,\"port\":1,\"state\":\"odd\",\"load\":{\"slots\":1}}"
            })
    void announce_invalid_isRefused(String body) throws Exception {
        assertEquals(400, call("POST", "/v1/announce", body).statusCode());
        assertTrue(announced.isEmpty());
    }
}
