package io.daisyhoist.daemon.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards the client port: valid requests reach the handler unchanged; all other input gets a typed and bounded refusal.
 */
class EdgeServerTest {
    private static final String TOKEN = "pickup.3.17.1700000000000.0123456789abcdef0123456789abcdef";
    private static final int FUZZ_ROUNDS = 300;
    private static final ClientLimits LIMITS =
            new ClientLimits(16_384, 1 << 20, Duration.ofSeconds(10), Duration.ofSeconds(75));
    private static final long MEMORY_BYTES = 16 << 20;

    private final Vertx vertx = Vertx.vertx();
    private final SimpleMeterRegistry registry = new SimpleMeterRegistry();
    private final List<InboundRequest> handled = new CopyOnWriteArrayList<>();
    private final AtomicInteger cancelled = new AtomicInteger();
    private volatile Future<OutboundResponse> handlerResult = Future.succeededFuture(
            OutboundResponse.ran(200, List.of(new HttpField("X-Record", "7")), Buffer.buffer("ok")));
    private final int port = start();

    private int start() {
        RequestHandler handler = new RequestHandler() {
            @Override
            public Future<OutboundResponse> handle(InboundRequest request, Future<Void> clientDisconnected) {
                handled.add(request);
                clientDisconnected.onSuccess(done -> cancelled.incrementAndGet());
                return handlerResult;
            }

            @Override
            public Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline) {
                return Future.succeededFuture(OutboundResponse.token(service + "-" + key.orElse("none")));
            }
        };
        ClientConnectionLimiter limiter = EdgeServer.newLimiter(
                vertx,
                new SystemTimeSource(),
                LIMITS,
                ConnectionBounds.DEFAULT,
                new MemoryBudget(MEMORY_BYTES),
                new DaemonMetrics(registry));
        EdgeRoutes routes = new EdgeRoutes(
                handler,
                service -> service.name().equals("pickup") ? Optional.of(Duration.ofSeconds(2)) : Optional.empty(),
                limiter,
                LIMITS.maxBodyBytes(),
                new SystemTimeSource(),
                new DaemonMetrics(registry),
                HopTracer.noop());
        return new EdgeServer(vertx, vertx.getOrCreateContext(), routes.router(vertx), limiter, LIMITS.maxHeaderBytes())
                .listen("127.0.0.1", 0)
                .toCompletionStage()
                .toCompletableFuture()
                .join();
    }

    @AfterEach
    void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Sends bytes and reads until the server closes the connection. */
    private String exchange(byte[] bytes) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                socket.getOutputStream().write(bytes);
                socket.shutdownOutput();
                socket.getInputStream().transferTo(received);
            } catch (SocketException e) {
                // The server may close the connection during the write; the response received before that is still
                // checked.
                assertTrue(e.getMessage() != null);
            }
            return received.toString(StandardCharsets.ISO_8859_1);
        }
    }

    private String request(String line, String... headers) throws IOException {
        String head = line + " HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n";
        for (String header : headers) {
            head += header + "\r\n";
        }
        return exchange((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }

    private static void assertRefused(RefusalCode code, String response) {
        assertTrue(response.startsWith("HTTP/1.1 " + code.httpStatus() + " "), response);
        String lower = response.toLowerCase(Locale.ROOT);
        assertTrue(lower.contains("daisyhoist-refusal: " + code.label()), response);
        assertTrue(lower.contains("daisyhoist-run: not-run"), response);
        assertTrue(response.contains("\"code\":\"" + code.label() + "\""), response);
    }

    @Nested
    class Valid {
        @Test
        void put_allFields_reachTheHandlerUnchanged() throws Exception {
            String body = "--b\r\nContent-Disposition: form-data; name=\"a\"\r\n\r\nx\r\n--b--\r\n";
            String head = "PUT /s/pickup/k/bin%2F7/level?unit=l HTTP/1.1\r\nHost: edge\r\nConnection: close, X-Hop\r\n"
                    + "X-Hop: 1\r\nX-Crew: two\r\nDaisyhoist-Rank: internal\r\nDaisyhoist-Deadline-Ms: 700\r\n"
                    + "Daisyhoist-Fence: forged\r\nDaisyhoist-Attempt-Token: " + TOKEN + "\r\n"
                    + "Content-Type: multipart/form-data; boundary=b\r\nContent-Length: " + body.length() + "\r\n\r\n";
            String response = exchange((head + body).getBytes(StandardCharsets.ISO_8859_1));
            assertTrue(response.startsWith("HTTP/1.1 200 ") && response.endsWith("ok"), response);
            assertTrue(response.contains("Daisyhoist-Run: ran"), response);
            InboundRequest seen = handled.get(0);
            assertEquals(Optional.of("bin/7"), seen.key());
            assertEquals("PUT /s/pickup/k/bin%2F7/level?unit=l", seen.method() + " " + seen.path());
            assertEquals(body, seen.body().toString());
            assertEquals(Rank.INTERNAL, seen.rank());
            assertEquals(TOKEN, seen.attemptToken().orElseThrow().format());
            assertEquals(
                    List.of("X-Crew", "Content-Type"),
                    seen.headers().stream().map(HttpField::name).toList());
            long remainingMillis =
                    seen.deadline().remaining(new SystemTimeSource()).toMillis();
            assertTrue(remainingMillis <= 700, "remaining " + remainingMillis);
        }

        @Test
        void post_attemptToken_isIssued() throws Exception {
            String response = request("POST /s/pickup/attempt-token?key=bin-7", "Content-Length: 0");
            assertTrue(response.contains("Daisyhoist-Attempt-Token: pickup-bin-7"), response);
            assertTrue(handled.isEmpty());
        }

        @Test
        void get_refusedByTheHandler_setsRetryAfter() throws Exception {
            handlerResult = Future.succeededFuture(
                    OutboundResponse.refused(Refusal.of(RefusalCode.OVERLOADED, "busy", Duration.ofMillis(1200))));
            String response = request("GET /s/pickup/k/a/x");
            assertRefused(RefusalCode.OVERLOADED, response);
            assertTrue(response.contains("Retry-After: 2"), response);
            assertTrue(response.contains("\"retry_after_ms\":1200"), response);
        }

        /** An internal error must not be reported as "not run". */
        @Test
        void get_handlerFails_isUnknown() throws Exception {
            handlerResult = Future.failedFuture(new IllegalStateException("fault"));
            String response = request("GET /s/pickup/k/a/x");
            assertTrue(response.contains("Daisyhoist-Run: unknown"), response);
        }

        /** Guards against a client that takes the response to its next request for the final one to this request. */
        @ParameterizedTest
        @ValueSource(ints = {0, 101, 102, 199})
        void get_statusIsNotFinal_isUnknown(int status) throws Exception {
            handlerResult = Future.succeededFuture(OutboundResponse.ran(status, List.of(), Buffer.buffer("ok")));
            String response = request("GET /s/pickup/k/a/x");
            assertTrue(response.startsWith("HTTP/1.1 " + RefusalCode.BACKEND_LOST.httpStatus() + " "), response);
            assertTrue(response.contains("Daisyhoist-Run: unknown"), response);
        }

        @Test
        void get_clientDisconnected_cancels() throws Exception {
            Promise<OutboundResponse> never = Promise.promise();
            handlerResult = never.future();
            try (Socket socket = new Socket("127.0.0.1", port)) {
                socket.getOutputStream()
                        .write("GET /s/pickup/k/a/x HTTP/1.1\r\nHost: edge\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                await().until(() -> handled.size() == 1);
            }
            await().until(() -> cancelled.get() == 1);
        }
    }

    @Nested
    class Invalid {
        @ParameterizedTest
        @CsvSource({
            "GET /, BAD_REQUEST",
            "GET /s/, BAD_REQUEST",
            "GET /s/pick%20up/k/a, BAD_REQUEST",
            "GET /s/pickup/k/%zz/x, BAD_REQUEST",
            "GET /s/pickup/k/a%00b/x, BAD_REQUEST",
            "GET /s/pickup/k/%ff/x, BAD_REQUEST",
            "GET /s/pickup/k/a/../b, BAD_REQUEST",
            "GET /s/pickup/k/%2e%2E/b, BAD_REQUEST",
            "GET http://edge/s/pickup/k/a, BAD_REQUEST",
            "GET /s/other/k/a, UNKNOWN_SERVICE",
        })
        void any_target_isRefused(String line, RefusalCode code) throws Exception {
            assertRefused(code, request(line));
            assertTrue(handled.isEmpty());
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "Daisyhoist-Rank: urgent",
                    "Daisyhoist-Deadline-Ms: -1",
                    "Daisyhoist-Deadline-Ms: 12345678901",
                    "Daisyhoist-Attempt-Token: pickup.3.17",
                    "Daisyhoist-Attempt-Token: archive.3.17.1.0123456789abcdef0123456789abcdef",
                    "Daisyhoist-Rank: normal\r\nDaisyhoist-Rank: browse"
                })
        void any_header_isRefused(String header) throws Exception {
            assertRefused(RefusalCode.BAD_REQUEST, request("GET /s/pickup/k/a/x", header));
            assertTrue(handled.isEmpty());
        }

        @Test
        void any_tooLarge_isRefused() throws Exception {
            String key = "k".repeat(RequestTarget.MAX_KEY_BYTES + 1);
            assertRefused(RefusalCode.BAD_REQUEST, request("GET /s/pickup/k/" + key));
            assertRefused(RefusalCode.TOO_LARGE, request("GET /s/pickup/k/a", "X-Big: " + "h".repeat(17 << 10)));
            assertRefused(RefusalCode.TOO_LARGE, request("PUT /s/pickup/k/a", "Content-Length: 1048577"));
            assertRefused(
                    RefusalCode.TOO_LARGE,
                    request(
                            "PUT /s/pickup/k/a",
                            "Transfer-Encoding: chunked\r\n\r\n110000\r\n" + "b".repeat(0x110000) + "\r\n0"));
            assertTrue(handled.isEmpty());
        }

        /** Guards against a limit that counts the request line, which has one of its own, as a part of the header fields. */
        @Test
        void any_headersAndLineAtTheirLimits_isAccepted() throws Exception {
            String path = "/s/pickup/k/a/" + "p".repeat(8_000);
            String response = request("GET " + path, "X-Big: " + "h".repeat(16_000));
            assertTrue(response.startsWith("HTTP/1.1 200 "), response);
            assertRefused(RefusalCode.TOO_LARGE, request("GET " + path + "p".repeat(1_000)));
            assertRefused(
                    RefusalCode.TOO_LARGE,
                    request("GET /s/pickup/k/a", "X-Big: " + "h".repeat(8_000), "X-More: " + "h".repeat(9_000)));
        }

        /**
         * An ambiguous body length allows two interpretations of one request, which could let it run for another key.
         */
        @Test
        void any_ambiguousLength_isRefused() throws Exception {
            assertRefused(
                    RefusalCode.BAD_REQUEST, request("PUT /s/pickup/k/a", "Content-Length: 1", "Content-Length: 2"));
            assertTrue(handled.isEmpty());
        }
    }

    @Nested
    class Fuzz {
        /** Any input must get a bounded response or a closed connection, and the server must keep serving. */
        @ParameterizedTest
        @ValueSource(longs = {4, 20261207})
        void any_randomOrMutatedInput_getsResponseOrIsClosed(long seed) throws Exception {
            Random random = new Random(seed);
            byte[] valid = ("PUT /s/pickup/k/bin-7/level?a=b HTTP/1.1\r\nHost: edge\r\nConnection: close\r\n"
                            + "Daisyhoist-Rank: normal\r\nDaisyhoist-Attempt-Token: " + TOKEN
                            + "\r\nContent-Length: 4\r\n\r\nbody")
                    .getBytes(StandardCharsets.ISO_8859_1);
            for (int i = 0; i < FUZZ_ROUNDS; i++) {
                byte[] input = i % 3 == 0 ? randomBytes(random) : mutate(valid, random);
                String response = exchange(input);
                assertTrue(response.length() < 16 << 10, "response of " + response.length() + " bytes");
                assertFalse(response.contains("HTTP/1.1 500"), response);
            }
            assertTrue(request("GET /s/pickup/k/a/x").startsWith("HTTP/1.1 200 "));
            assertTrue(
                    registry.getMeters().size() < 30,
                    "clients added " + registry.getMeters().size() + " meters");
        }

        private byte[] randomBytes(Random random) {
            byte[] bytes = new byte[1 + random.nextInt(3000)];
            random.nextBytes(bytes);
            return bytes;
        }

        private byte[] mutate(byte[] valid, Random random) {
            byte[] mutated = valid.clone();
            for (int flips = 1 + random.nextInt(5); flips > 0; flips--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
            }
            return mutated;
        }
    }
}
