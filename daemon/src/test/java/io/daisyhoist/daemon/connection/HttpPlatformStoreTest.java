package io.daisyhoist.daemon.connection;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.membership.SwapResult;
import io.daisyhoist.core.time.SystemTimeSource;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the outcome of writes: a lost response must never be reported as a conflict. */
class HttpPlatformStoreTest {
    private static final byte[] VALUE = {1, 2, 3};

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger requests = new AtomicInteger();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private String serve(Handler<HttpServerRequest> handler) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            requests.incrementAndGet();
            request.body().onSuccess(body -> handler.handle(request));
        });
        return "http://127.0.0.1:" + join(server.listen(0, "127.0.0.1")).actualPort();
    }

    private HttpPlatformStore store(String... urls) {
        return new HttpPlatformStore(vertx, List.of(urls), new SystemTimeSource());
    }

    private static String refusingUrl() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "http://127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void swap_completeResponse_isAppliedOrConflict() throws Exception {
        HttpPlatformStore store = store(serve(request -> {
            boolean current = "\"4\"".equals(request.getHeader("If-Match"));
            boolean create = "*".equals(request.getHeader("If-None-Match"));
            request.response()
                    .setStatusCode(current || create ? 200 : 412)
                    .putHeader("ETag", "\"5\"")
                    .end();
        }));
        assertEquals(new SwapOutcome(SwapResult.APPLIED, 5), join(store.swap("daisyhoist/config", 4, VALUE)));
        assertEquals(new SwapOutcome(SwapResult.APPLIED, 5), join(store.swap("daisyhoist/config", 0, VALUE)));
        assertEquals(
                SwapResult.CONFLICT,
                join(store.swap("daisyhoist/config", 3, VALUE)).result());
        assertTrue(store.timeSinceLastResponse().orElseThrow().compareTo(Duration.ofSeconds(5)) < 0);
    }

    /** If the connection is lost after the write took effect, the outcome must be unknown, not a conflict. */
    @Test
    void swap_responseLostAfterTheWrite_isUnknownAndNotRepeated() throws Exception {
        String responseLosing = serve(request -> request.connection().close());
        String healthy = serve(request -> request.response().setStatusCode(412).end());
        HttpPlatformStore store = store(responseLosing, healthy);
        for (int i = 0; i < 20; i++) {
            HttpPlatformStore fresh = store(responseLosing, healthy);
            assertEquals(SwapOutcome.UNKNOWN, join(fresh.swap("k", 1, VALUE)));
        }
        assertEquals(20, requests.get(), "a write that may have been sent was sent again");
        assertTrue(store.timeSinceLastResponse().isEmpty());
    }

    @Test
    void swap_responseLate_isUnknownWithinTheTimeout() throws Exception {
        HttpPlatformStore store = store(serve(request -> vertx.setTimer(
                3000, fired -> request.response().setStatusCode(412).end())));
        long start = System.nanoTime();
        assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 1, VALUE)));
        assertTrue(System.nanoTime() - start < Duration.ofMillis(2500).toNanos());
    }

    /** A 412 with an incomplete body must not count as a conflict, because the body could be that of another server. */
    @Test
    void swap_responseIncomplete_isUnknown() throws Exception {
        HttpPlatformStore store = store(serve(request -> {
            request.response()
                    .setStatusCode(412)
                    .putHeader("Content-Length", "10")
                    .write("half");
            vertx.setTimer(50, fired -> request.connection().close());
        }));
        assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 1, VALUE)));
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 204, 302, 404, 409, 428, 500, 503})
    void swap_unexpectedResponse_isUnknown(int status) throws Exception {
        HttpPlatformStore store =
                store(serve(request -> request.response().setStatusCode(status).end()));
        assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 1, VALUE)));
    }

    @Test
    void swap_connectionRefused_triesTheNextUrlElseFailsAsNotSent() throws Exception {
        String healthy =
                serve(request -> request.response().putHeader("ETag", "\"9\"").end());
        assertEquals(9, join(store(refusingUrl(), healthy).swap("k", 1, VALUE)).revision());
        HttpPlatformStore unreachable = store(refusingUrl(), refusingUrl());
        CompletionException failure = assertThrows(
                CompletionException.class,
                () -> unreachable
                        .swap("k", 1, VALUE)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .join());
        PlatformException cause = assertInstanceOf(PlatformException.class, failure.getCause());
        assertEquals(DeliveryCertainty.NOT_SENT, cause.certainty());
    }

    /** A URL that accepts connections but never responds must not be tried first again. */
    @Test
    void read_firstUrlUnresponsive_usesAndKeepsTheNextOne() throws Exception {
        AtomicInteger unresponsiveCalls = new AtomicInteger();
        String unresponsive = serve(request -> unresponsiveCalls.incrementAndGet());
        String healthy =
                serve(request -> request.response().putHeader("ETag", "\"7\"").end("abc"));
        HttpPlatformStore store = store(unresponsive, healthy);
        for (int i = 0; i < 3; i++) {
            VersionedValue value = join(store.read("k")).orElseThrow();
            assertEquals(7, value.revision());
            assertArrayEquals("abc".getBytes(), value.bytes());
        }
        assertEquals(1, unresponsiveCalls.get());
    }

    @Test
    void watch_unchangedThenChanged_returnsEmptyThenTheValue() throws Exception {
        HttpPlatformStore store = store(serve(request -> {
            assertEquals("1500", request.getParam("wait_ms"));
            boolean known = "\"7\"".equals(request.getHeader("If-None-Match"));
            long delayMillis = known ? 1500 : 1;
            vertx.setTimer(
                    delayMillis,
                    fired -> request.response()
                            .setStatusCode(known ? 304 : 200)
                            .putHeader("ETag", "\"7\"")
                            .end(known ? "" : "abc"));
        }));
        Duration wait = Duration.ofMillis(1500);
        assertEquals(Optional.empty(), join(store.watch("k", 7, wait)));
        assertEquals(7, join(store.watch("k", 6, wait)).orElseThrow().revision());
    }
}
