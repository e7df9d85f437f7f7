package io.daisyhoist.testkit.platform;

import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.TestHttpClient;
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
        server = Futures.awaitResult(PlatformServer.start(vertx, "127.0.0.1", 0));
        url = "http://127.0.0.1:" + server.port();
    }

    @AfterEach
    void stop() {
        Futures.awaitResult(vertx.close());
    }

    /** Guards against reuse of a revision, which would let a stale compare-and-swap succeed. */
    @Test
    void put_afterDelete_getsUnusedRevision() {
        HttpResponse<String> first = put("a/b", "one", "If-None-Match", "*");
        HttpResponse<String> second = put("a/b", "two", "If-Match", eTag(first));
        assertEquals(412, put("a/b", "stale", "If-Match", eTag(first)).statusCode());
        assertEquals(412, put("a/b", "again", "If-None-Match", "*").statusCode());
        assertEquals("two", get("a/b").body());
        assertEquals(
                200,
                TestHttpClient.send("DELETE", keyUrl("a/b"), "", "If-Match", eTag(second))
                        .statusCode());
        assertEquals(404, get("a/b").statusCode());
        HttpResponse<String> third = put("a/b", "three", "If-None-Match", "*");
        assertNotEquals(eTag(first), eTag(third));
        assertNotEquals(eTag(second), eTag(third));
        assertEquals(412, put("a/b", "stale", "If-Match", eTag(second)).statusCode());
    }

    /** Guards against unconditional writes, which would bypass the compare-and-swap. */
    @Test
    void put_withoutCondition_isRefused() {
        assertEquals(428, put("k", "v").statusCode());
        assertEquals(404, get("k").statusCode());
    }

    /** Guards against watches that miss a change or never end. */
    @Test
    void watch_untilChangeOrTimeout_respondsInBothCases() throws Exception {
        String known = eTag(put("k", "old", "If-None-Match", "*"));
        String watchUrl = keyUrl("k") + "?wait_ms=";
        assertEquals(
                304,
                TestHttpClient.send("GET", watchUrl + 50, "", "If-None-Match", known)
                        .statusCode());
        CompletableFuture<HttpResponse<String>> watch =
                TestHttpClient.sendAsync("GET", watchUrl + 8_000, "", "If-None-Match", known);
        await().until(() -> counter("watches_waiting") == 1);
        put("k", "new", "If-Match", known);
        assertEquals("new", watch.get(5, TimeUnit.SECONDS).body());
        await().until(() -> counter("watches_waiting") == 0);
    }

    /** Guards against a simulated lost response that also loses the write. */
    @Test
    void put_responseLost_takesEffect() {
        server.faults().update(new JsonObject().put("lose_next", 1));
        assertThrows(UncheckedIOException.class, () -> put("k", "v", "If-None-Match", "*"));
        assertEquals("v", get("k").body());
        assertEquals(1, counter("lost_responses"));
    }

    /** Guards against a simulated outage that leaves pending watches open or makes the admin interface unusable. */
    @Test
    void outage_closed_endsCallsAndWatches() {
        String known = eTag(put("k", "v", "If-None-Match", "*"));
        CompletableFuture<HttpResponse<String>> watch =
                TestHttpClient.sendAsync("GET", keyUrl("k") + "?wait_ms=8000", "", "If-None-Match", known);
        await().until(() -> counter("watches_waiting") == 1);
        TestHttpClient.send("POST", url + "/admin/faults", "{\"availability\":\"closed\"}");
        await().until(watch::isCompletedExceptionally);
        assertThrows(UncheckedIOException.class, () -> get("k"));
        TestHttpClient.send("POST", url + "/admin/faults", "{\"availability\":\"unavailable\"}");
        assertEquals(503, get("k").statusCode());
        TestHttpClient.send("POST", url + "/admin/faults", "{\"availability\":\"up\",\"delay_ms\":100}");
        long start = System.nanoTime();
        assertEquals("v", get("k").body());
        assertTrue(System.nanoTime() - start >= 100_000_000, "the delay must be applied");
    }

    private HttpResponse<String> put(String key, String value, String... headers) {
        return TestHttpClient.send("PUT", keyUrl(key), value, headers);
    }

    private HttpResponse<String> get(String key) {
        return TestHttpClient.send("GET", keyUrl(key), "");
    }

    private String keyUrl(String key) {
        return url + "/v1/kv/" + key;
    }

    private static String eTag(HttpResponse<String> response) {
        return response.headers().firstValue("ETag").orElseThrow();
    }

    private long counter(String name) {
        return server.counters().toJson(System.nanoTime()).getLong(name);
    }
}
