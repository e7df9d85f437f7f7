package io.daisyhoist.daemon.connection;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.daisyhoist.core.membership.SwapResult;
import io.daisyhoist.core.time.SystemTimeSource;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.awaitility.Awaitility.await;
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

    /** A faulty server or proxy that writes parts of other responses on the same connection. */
    @Nested
    class MixedResponses {
        private static final String APPLIED =
                "HTTP/1.1 200 OK\r\nETag: \"5\"\r\nX-Served-By: a\r\nContent-Length: 0\r\n\r\n";
        private static final String CONFLICT =
                "HTTP/1.1 412 Precondition Failed\r\nETag: \"9\"\r\nContent-Length: 0\r\n\r\n";
        private static final String NOT_FOUND = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
        private static final String VALUE_9 = "HTTP/1.1 200 OK\r\nETag: \"9\"\r\nContent-Length: 3\r\n\r\nabc";

        private static final int MAX_ATTEMPTS_TO_SHARE = 20;

        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicReference<NetSocket> first = new AtomicReference<>();

        /** Creates a store that answers each request with the next response, and the last one to all later requests. */
        private HttpPlatformStore store(String... responses) throws Exception {
            connections.set(0);
            AtomicInteger answered = new AtomicInteger();
            NetServer server = vertx.createNetServer().connectHandler(socket -> {
                if (connections.incrementAndGet() == 1) {
                    first.set(socket);
                    socket.closeHandler(closed -> first.compareAndSet(socket, null));
                }
                socket.handler(
                        request -> socket.write(responses[Math.min(responses.length - 1, answered.getAndIncrement())]));
            });
            int port = join(server.listen(0, "127.0.0.1")).actualPort();
            return HttpPlatformStoreTest.this.store("http://127.0.0.1:" + port);
        }

        /** Guards against a conflict that is reported as applied: its head follows the beginning of an earlier one. */
        @Test
        void swap_partOfEarlierResponseBeforeConflict_isUnknown() throws Exception {
            int headLength = APPLIED.indexOf("\r\n\r\n");
            for (int length = 1; length < headLength; length++) {
                String part = APPLIED.substring(0, length);
                HttpPlatformStore store = store(part + CONFLICT);
                assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 4, VALUE)), "after: " + part);
                store.close();
            }
        }

        /** Guards against reading the revision of one key with the body of another. */
        @Test
        void read_partOfEarlierResponseBeforeOwn_fails() throws Exception {
            String part = APPLIED.substring(0, APPLIED.indexOf("\r\nContent-Length"));
            HttpPlatformStore store = store(part + VALUE_9, part + NOT_FOUND, VALUE_9);
            assertReadFails(store);
            assertReadFails(store);
            assertEquals(9, join(store.read("k")).orElseThrow().revision());
            assertEquals(3, connections.get(), "a damaged connection was reused");
        }

        /** Guards against a revision that is chosen among those of two responses. */
        @Test
        void any_twoRevisions_areRejected() throws Exception {
            String response = "HTTP/1.1 200 OK\r\nETag: \"5\"\r\nETag: \"9\"\r\nContent-Length: 0\r\n\r\n";
            HttpPlatformStore store = store(response);
            assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 4, VALUE)));
            assertReadFails(store);
        }

        /** Guards against taking the final response that follows an interim one for the value of another key. */
        @Test
        void read_informationalStatus_closesTheConnection() throws Exception {
            HttpPlatformStore store = store("HTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n", VALUE_9);
            assertReadFails(store);
            assertEquals(9, join(store.read("other")).orElseThrow().revision());
            assertEquals(2, connections.get(), "the connection still expects a final response");
        }

        /** Guards against a response without a valid status that is taken for an answer of the store. */
        @ParameterizedTest
        @ValueSource(
                strings = {" 000 X", " 099 X", " 600 X", " 999 X", " 2000 X", " abc X", " 2x0 X", " -20 X", " ", ""})
        void any_invalidStatus_isUnknownAndClosesTheConnection(String status) throws Exception {
            String invalid = "HTTP/1.1" + status + "\r\nETag: \"5\"\r\nContent-Length: 0\r\n\r\n";
            HttpPlatformStore store = store(invalid, invalid, VALUE_9);
            assertReadFails(store);
            assertEquals(SwapOutcome.UNKNOWN, join(store.swap("k", 4, VALUE)));
            assertEquals(9, join(store.read("k")).orElseThrow().revision());
            assertEquals(3, connections.get(), "a damaged connection was reused");
        }

        /** Guards against reading the next response behind the beginning of an earlier one. */
        @Test
        void read_partOfResponseWhileUnused_closesTheConnection() throws Exception {
            HttpPlatformStore store = store(VALUE_9);
            join(store.read("k"));
            first.get().write("HTTP/1.1 200 OK\r\nETa");
            await().until(() -> first.get() == null);
            assertEquals(9, join(store.read("k")).orElseThrow().revision());
        }

        /** Guards against reusing a connection on which a rejected response has ended before it was checked. */
        @Test
        void read_rejectedOnAnotherEventLoop_closesTheConnection() throws Exception {
            // If the pool gets the connection back only after the first read has completed, the second one opens its
            // own.
            boolean shared = false;
            for (int attempt = 0; attempt < MAX_ATTEMPTS_TO_SHARE && !shared; attempt++) {
                shared = rejectOnAnotherEventLoop();
            }
            assertTrue(shared, "the threads did not share the connection");
            await().until(() -> first.get() == null);
        }

        /** Returns whether the response was rejected on the connection that the first read had used. */
        private boolean rejectOnAnotherEventLoop() throws Exception {
            HttpPlatformStore store = store(VALUE_9, "HTTP/1.1 200 OK\r\nETag: \"5\"\r\nX-Served-By: " + VALUE_9);
            join(store.read("k"));
            // Each thread has its own event loop, but the threads share the connections.
            Future<?> other =
                    CompletableFuture.supplyAsync(() -> store.read("other")).join();
            assertThrows(ExecutionException.class, () -> join(other));
            return connections.get() == 1;
        }

        private void assertReadFails(HttpPlatformStore store) {
            assertThrows(ExecutionException.class, () -> join(store.read("k")));
        }
    }
}
