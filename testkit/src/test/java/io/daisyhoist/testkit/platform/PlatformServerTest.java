package io.daisyhoist.testkit.platform;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.Http;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PlatformServerTest {
    private Vertx vertx;
    private PlatformServer server;
    private String url;

    @BeforeEach
    void start() {
        vertx = Vertx.vertx();
        server = Futures.result(PlatformServer.start(vertx, "127.0.0.1", 0));
        url = "http://127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        Futures.result(vertx.close());
    }

    /** Guards against a reused revision, which would let a stale compare-and-swap succeed. */
    @Test
    void put_afterDelete_takesRevisionNeverUsedBefore() {
        HttpResponse<String> first = put("a/b", "one", "If-None-Match", "*");
        HttpResponse<String> second = put("a/b", "two", "If-Match", tag(first));
        assertEquals(412, put("a/b", "stale", "If-Match", tag(first)).statusCode());
        assertEquals(412, put("a/b", "again", "If-None-Match", "*").statusCode());
        assertEquals("two", get("a/b").body());
        assertEquals(
                200, Http.send("DELETE", kv("a/b"), "", "If-Match", tag(second)).statusCode());
        assertEquals(404, get("a/b").statusCode());
        HttpResponse<String> third = put("a/b", "three", "If-None-Match", "*");
        assertNotEquals(tag(first), tag(third));
        assertNotEquals(tag(second), tag(third));
        assertEquals(412, put("a/b", "stale", "If-Match", tag(second)).statusCode());
    }

    /** Guards against writes that bypass the compare-and-swap. */
    @Test
    void put_withoutCondition_isRefused() {
        assertEquals(428, put("k", "v").statusCode());
        assertEquals(404, get("k").statusCode());
    }

    /** Guards against watches that miss a change or never end. */
    @Test
    void watch_untilChangeOrTimeout_answersEither() throws Exception {
        String known = tag(put("k", "old", "If-None-Match", "*"));
        String watchUrl = kv("k") + "?wait_ms=";
        assertEquals(
                304, Http.send("GET", watchUrl + 50, "", "If-None-Match", known).statusCode());
        CompletableFuture<HttpResponse<String>> watch = Http.begin("GET", watchUrl + 8_000, "", "If-None-Match", known);
        await().until(() -> stat("watches_waiting") == 1);
        put("k", "new", "If-Match", known);
        assertEquals("new", watch.get(5, TimeUnit.SECONDS).body());
        await().until(() -> stat("watches_waiting") == 0);
    }

    /** Guards against a lost response that was in truth a lost write. */
    @Test
    void put_responseLost_tookEffect() {
        server.faults().apply(new JsonObject().put("lose_next", 1));
        assertThrows(UncheckedIOException.class, () -> put("k", "v", "If-None-Match", "*"));
        assertEquals("v", get("k").body());
        assertEquals(1, stat("lost_responses"));
    }

    /** Guards against an outage that leaves waiting watches or the admin interface untouched or unusable. */
    @Test
    void outage_closed_endsCallsAndWatches() {
        String known = tag(put("k", "v", "If-None-Match", "*"));
        CompletableFuture<HttpResponse<String>> watch =
                Http.begin("GET", kv("k") + "?wait_ms=8000", "", "If-None-Match", known);
        await().until(() -> stat("watches_waiting") == 1);
        Http.send("POST", url + "/admin/faults", "{\"availability\":\"closed\"}");
        await().until(watch::isCompletedExceptionally);
        assertThrows(UncheckedIOException.class, () -> get("k"));
        Http.send("POST", url + "/admin/faults", "{\"availability\":\"unavailable\"}");
        assertEquals(503, get("k").statusCode());
        Http.send("POST", url + "/admin/faults", "{\"availability\":\"up\",\"delay_ms\":100}");
        long start = System.nanoTime();
        assertEquals("v", get("k").body());
        assertTrue(System.nanoTime() - start >= 100_000_000, "the delay must be in force");
    }

    private HttpResponse<String> put(String key, String value, String... headers) {
        return Http.send("PUT", kv(key), value, headers);
    }

    private HttpResponse<String> get(String key) {
        return Http.send("GET", kv(key), "");
    }

    private String kv(String key) {
        return url + "/v1/kv/" + key;
    }

    private static String tag(HttpResponse<String> response) {
        return response.headers().firstValue("ETag").orElseThrow();
    }

    private long stat(String name) {
        return server.counters().toJson(System.nanoTime()).getLong(name);
    }
}
