package io.daisyhoist.daemon.connection;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BackendResult.Answered;
import io.daisyhoist.daemon.connection.BackendResult.NotWritten;
import io.daisyhoist.daemon.connection.BackendResult.NotWrittenReason;
import io.daisyhoist.daemon.connection.BackendResult.StaleFence;
import io.daisyhoist.daemon.connection.BackendResult.Unknown;
import io.daisyhoist.daemon.connection.BackendResult.UnknownReason;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
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
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the results of backend requests: a request may be reported as not run only if it was never written. */
class BackendClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final TimeSource time = new SystemTimeSource();
    private final List<HttpServerRequest> receivedRequests = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() {
        vertx.close().toCompletionStage().toCompletableFuture().join();
    }

    private BackendClient client(int maxConnections, Handler<HttpServerRequest> handler) throws Exception {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            receivedRequests.add(request);
            handler.handle(request);
        });
        int port = server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .get(5, TimeUnit.SECONDS)
                .actualPort();
        return client(maxConnections, port);
    }

    private BackendClient client(int maxConnections, int port) {
        return new BackendClient(
                vertx, vertx.getOrCreateContext(), new Endpoint("127.0.0.1", port), maxConnections, time);
    }

    private BackendRequest request(String path, Duration remaining) {
        return new BackendRequest(
                "POST",
                path,
                List.of(new HttpField("X-Crew", "two")),
                Buffer.buffer("body"),
                Optional.of("archive/3:17"),
                Deadline.after(time, remaining));
    }

    private BackendCall send(BackendClient client, String path) {
        return client.send(request(path, LONG_TIMEOUT), () -> true);
    }

    private static BackendResult join(BackendCall call) throws Exception {
        return call.result().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private static void assertNotWritten(NotWrittenReason reason, BackendCall call) throws Exception {
        assertEquals(reason, assertInstanceOf(NotWritten.class, join(call)).reason());
    }

    private static void assertUnknown(UnknownReason reason, BackendCall call) throws Exception {
        assertEquals(reason, assertInstanceOf(Unknown.class, join(call)).reason());
    }

    private static void respondWithPath(HttpServerRequest request) {
        request.response().end(request.path());
    }

    @Nested
    class Responses {
        @Test
        void send_answered_forwardsRequestAndResponse() throws Exception {
            BackendClient client = client(
                    2,
                    request -> request.body()
                            .onSuccess(body -> request.response()
                                    .setStatusCode(201)
                                    .putHeader("X-Record", "7")
                                    .putHeader("Connection", "X-Hop")
                                    .putHeader("X-Hop", "1")
                                    .putHeader("Daisyhoist-Run", "forged")
                                    .end(body)));
            Answered response = assertInstanceOf(Answered.class, join(send(client, "/s/archive/k/dish-7?a=b")));
            assertEquals(201, response.status());
            assertEquals("body", response.body().toString());
            assertEquals(List.of(new HttpField("X-Record", "7")), response.headers());
            HttpServerRequest seen = receivedRequests.get(0);
            assertEquals("POST /s/archive/k/dish-7?a=b", seen.method() + " " + seen.uri());
            assertEquals("two", seen.getHeader("X-Crew"));
            assertEquals("archive/3:17", seen.getHeader("Daisyhoist-Fence"));
            int deadlineMillis = Integer.parseInt(seen.getHeader("Daisyhoist-Deadline-Ms"));
            assertTrue(deadlineMillis > 3000 && deadlineMillis <= 5000, "deadline " + deadlineMillis);
        }

        @Test
        void send_fenceRefused_isStaleFenceButAnOrdinary412IsAResponse() throws Exception {
            BackendClient client = client(2, request -> {
                if (request.path().equals("/stale")) {
                    request.response().putHeader("Daisyhoist-Stale-Fence", "true");
                }
                request.response().setStatusCode(412).end();
            });
            assertInstanceOf(StaleFence.class, join(send(client, "/stale")));
            assertInstanceOf(Answered.class, join(send(client, "/ordinary")));
        }

        /** The response to a cancelled request must never be delivered to a later request on the same connection. */
        @ParameterizedTest
        @ValueSource(longs = {3, 20261206})
        void send_randomlyCancelled_eachResponseBelongsToItsRequest(long seed) throws Exception {
            Random random = new Random(seed);
            BackendClient client = client(
                    4,
                    request ->
                            vertx.setTimer(1 + request.path().hashCode() % 7 + 7, fired -> respondWithPath(request)));
            int answered = 0;
            for (int round = 0; round < 150; round++) {
                List<BackendCall> calls = new ArrayList<>();
                for (int i = 0; i < 4; i++) {
                    calls.add(send(client, "/r" + round + "-" + i));
                }
                for (BackendCall call : calls) {
                    if (random.nextInt(3) == 0) {
                        long delayMicros = random.nextInt(12_000);
                        TimeUnit.MICROSECONDS.sleep(delayMicros);
                        call.cancel();
                    }
                }
                for (int i = 0; i < 4; i++) {
                    if (join(calls.get(i)) instanceof Answered response) {
                        assertEquals("/r" + round + "-" + i, response.body().toString());
                        answered++;
                    }
                }
            }
            assertTrue(answered > 100, "only " + answered + " of 600 requests were answered");
        }
    }

    /** A faulty backend server that writes an earlier response once more on the same connection. */
    @Nested
    class LateDuplicates {
        private static final String REFUSAL = "HTTP/1.1 503 Full\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n";

        private final AtomicInteger connections = new AtomicInteger();
        private final AtomicInteger requests = new AtomicInteger();

        private static String ok(String headers, String body) {
            return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }

        private BackendClient client(Function<String, List<String>> responsesToHead) throws Exception {
            return client(new AtomicReference<>(), responsesToHead);
        }

        /** Creates a client of a server that provides its first connection while it is open. */
        private BackendClient client(AtomicReference<NetSocket> first, Function<String, List<String>> responsesToHead)
                throws Exception {
            NetServer server = vertx.createNetServer().connectHandler(socket -> {
                if (connections.incrementAndGet() == 1) {
                    first.set(socket);
                    socket.closeHandler(closed -> first.set(null));
                }
                socket.handler(bytes -> responsesToHead.apply(bytes.toString()).forEach(socket::write));
            });
            int port = server.listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(5, TimeUnit.SECONDS)
                    .actualPort();
            return BackendClientTest.this.client(1, port);
        }

        private String requestId(String head) {
            return head.lines()
                    .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("daisyhoist-request-id: "))
                    .findFirst()
                    .orElseThrow();
        }

        /** Guards against "not run" for a request that is running. */
        @Test
        void send_earlierRefusalWrittenAgain_isNotTakenForTheNextResponse() throws Exception {
            BackendClient client = client(head -> connections.get() == 1 ? List.of(REFUSAL) : List.of(ok("", "own")));
            assertEquals(
                    503,
                    assertInstanceOf(Answered.class, join(send(client, "/first")))
                            .status());
            Answered second = assertInstanceOf(Answered.class, join(send(client, "/second")));
            assertEquals("own", second.body().toString());
            assertEquals(2, connections.get());
        }

        /** Guards against delivering the response to another request. */
        @Test
        void send_earlierAnswerWrittenAgain_isUnknownIfTheIdIsEchoed() throws Exception {
            List<String> answers = new CopyOnWriteArrayList<>();
            BackendClient client = client(head -> {
                answers.add(ok(requestId(head) + "\r\n", "answer-" + answers.size()));
                return requests.incrementAndGet() == 2
                        ? List.of(answers.get(0), answers.get(1))
                        : List.of(answers.get(answers.size() - 1));
            });
            assertEquals("answer-0", bodyOf(send(client, "/first")));
            assertUnknown(UnknownReason.FOREIGN_RESPONSE, send(client, "/second"));
            assertEquals("answer-2", bodyOf(send(client, "/third")));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        /** Guards against a success in place of a failure: the beginning of an earlier answer precedes the next one. */
        @Test
        void send_partOfEarlierAnswerBeforeOwn_statusIsNotTakenFromIt() throws Exception {
            String failure = "HTTP/1.1 500 Error\r\nContent-Length: 4\r\n\r\nfail";
            String earlier = ok("X-Record: 7\r\n", "earlier");
            for (int length = 1; length < earlier.length(); length++) {
                String part = earlier.substring(0, length);
                requests.set(0);
                BackendClient client =
                        client(head -> List.of(requests.incrementAndGet() == 1 ? earlier : part + failure));
                assertEquals("earlier", bodyOf(send(client, "/first")));
                BackendResult second = join(client.send(request("/second", Duration.ofMillis(300)), () -> true));
                boolean success = second instanceof Answered answered && answered.status() == 200;
                assertFalse(success && !part.contains("\r\n\r\n"), "status of the earlier answer after: " + part);
                client.close();
            }
        }

        /** Guards against taking an answer that arrives between two requests for the second one. */
        @Test
        void send_earlierAnswerWrittenAgainWhileUnused_isNotTakenForTheNextAnswer() throws Exception {
            AtomicReference<NetSocket> first = new AtomicReference<>();
            BackendClient client = client(first, head -> List.of(ok("", "answer-" + requests.incrementAndGet())));
            assertEquals("answer-1", bodyOf(send(client, "/first")));
            first.get().write("HTTP/1.1 200 OK\r\nContent-Len");
            await().until(() -> first.get() == null);
            assertEquals("answer-2", bodyOf(send(client, "/second")));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        /** Guards against "not run" for a request that is running: the status and the refusal are of an earlier answer. */
        @Test
        void send_partOfStaleFenceBeforeOwn_isUnknown() throws Exception {
            String part = "HTTP/1.1 412 Stale\r\nDaisyhoist-Stale-Fence: true\r\nX-Record: ";
            BackendClient client = client(head -> List.of(part + ok("", "own")));
            assertUnknown(UnknownReason.FOREIGN_RESPONSE, send(client, "/first"));
        }

        /** Guards against a head that consists of two, of which the first one has the own id. */
        @Test
        void send_answerWithTwoIds_isUnknown() throws Exception {
            BackendClient client =
                    client(head -> List.of(ok(requestId(head) + "\r\nDaisyhoist-Request-Id: other\r\n", "own")));
            assertUnknown(UnknownReason.FOREIGN_RESPONSE, send(client, "/first"));
        }

        /** Guards against reusing a connection whose responses belong to other requests. */
        @Test
        void send_completeAnswerRejected_closesTheConnection() throws Exception {
            BackendClient client = client(head ->
                    List.of(connections.get() == 1 ? ok("Daisyhoist-Request-Id: other\r\n", "other") : ok("", "own")));
            assertUnknown(UnknownReason.FOREIGN_RESPONSE, send(client, "/first"));
            assertEquals("own", bodyOf(send(client, "/second")));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        /** Guards against taking the final answer that follows an interim one for the answer to the next request. */
        @ParameterizedTest
        @ValueSource(ints = {101, 102, 199})
        void send_informationalStatus_isNotTheFinalAnswer(int status) throws Exception {
            String interim = "HTTP/1.1 " + status + " Interim\r\nContent-Length: 0\r\n\r\n";
            BackendClient client =
                    client(head -> List.of(connections.get() == 1 ? interim : ok("", "answer-" + connections.get())));
            assertUnknown(UnknownReason.INFORMATIONAL_RESPONSE, send(client, "/first"));
            assertEquals("answer-2", bodyOf(send(client, "/second")));
        }

        /** Guards against delivering what a backend server in trouble sends in place of a status. */
        @ParameterizedTest
        @ValueSource(
                strings = {" 000 X", " 099 X", " 600 X", " 999 X", " 2000 X", " abc X", " 2x0 X", " -20 X", " ", ""})
        void send_invalidStatus_isUnknownAndClosesTheConnection(String status) throws Exception {
            String invalid = "HTTP/1.1" + status + "\r\nContent-Length: 0\r\n\r\n";
            BackendClient client =
                    client(head -> List.of(connections.get() == 1 ? invalid : ok("", "answer-" + connections.get())));
            assertUnknown(UnknownReason.INVALID_RESPONSE, send(client, "/first"));
            assertEquals("answer-2", bodyOf(send(client, "/second")));
        }

        private String bodyOf(BackendCall call) throws Exception {
            return assertInstanceOf(Answered.class, join(call)).body().toString();
        }
    }

    @Nested
    class CertainlyNotWritten {
        @Test
        void send_connectionRefused_isNotWritten() throws Exception {
            int free;
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                free = socket.getLocalPort();
            }
            assertNotWritten(NotWrittenReason.CONNECTION_REFUSED, send(client(1, free), "/r"));
        }

        @Test
        void send_poolAndQueueFull_isNotWritten() throws Exception {
            BackendClient client = client(1, request -> {});
            send(client, "/running");
            await().until(() -> receivedRequests.size() == 1);
            send(client, "/queued1");
            send(client, "/queued2");
            assertNotWritten(NotWrittenReason.POOL_EXHAUSTED, send(client, "/third"));
        }

        /** A request reported as not run must not be written when a connection becomes free. */
        @Test
        void send_endedWhileWaitingForAConnection_isNeverWritten() throws Exception {
            BackendClient client = client(2, request -> {
                if (!request.path().startsWith("/running")) {
                    respondWithPath(request);
                }
            });
            send(client, "/running1");
            send(client, "/running2");
            await().until(() -> receivedRequests.size() == 2);
            BackendCall cancelled = send(client, "/cancelled");
            BackendCall late = client.send(request("/late", Duration.ofMillis(100)), () -> true);
            cancelled.cancel();
            assertNotWritten(NotWrittenReason.CANCELLED, cancelled);
            assertNotWritten(NotWrittenReason.DEADLINE, late);
            receivedRequests.forEach(BackendClientTest::respondWithPath);
            assertInstanceOf(Answered.class, join(send(client, "/next")));
            assertInstanceOf(Answered.class, join(send(client, "/next")));
            assertEquals(
                    List.of("/next", "/next"),
                    receivedRequests.stream()
                            .skip(2)
                            .map(HttpServerRequest::path)
                            .toList());
        }

        /** A request whose lease ended while it waited must not be written, and its connection must stay usable. */
        @Test
        void send_preWriteCheckFails_isNeverWritten() throws Exception {
            BackendClient client = client(1, BackendClientTest::respondWithPath);
            for (int i = 0; i < 5; i++) {
                assertNotWritten(NotWrittenReason.LAST_CHECK, client.send(request("/no", LONG_TIMEOUT), () -> false));
            }
            assertNotWritten(NotWrittenReason.LAST_CHECK, client.send(request("/no", LONG_TIMEOUT), () -> {
                throw new IllegalStateException("check failed");
            }));
            assertInstanceOf(Answered.class, join(send(client, "/yes")));
            assertEquals(
                    List.of("/yes"),
                    receivedRequests.stream().map(HttpServerRequest::path).toList());
        }
    }

    @Nested
    class OutcomeUnknown {
        @Test
        void send_connectionLostAfterTheWrite_isUnknown() throws Exception {
            BackendClient client = client(1, request -> request.connection().close());
            assertUnknown(UnknownReason.CONNECTION_LOST, send(client, "/r"));
        }

        @Test
        void send_connectionLostWithinTheResponse_isUnknown() throws Exception {
            BackendClient client = client(1, request -> {
                request.response().putHeader("Content-Length", "100").write("part");
                vertx.setTimer(30, fired -> request.connection().close());
            });
            assertUnknown(UnknownReason.CONNECTION_LOST, send(client, "/r"));
        }

        @Test
        void send_noResponseBeforeTheDeadline_isUnknownAndClosesTheStream() throws Exception {
            List<String> closed = new CopyOnWriteArrayList<>();
            BackendClient client =
                    client(1, request -> request.response().closeHandler(ignored -> closed.add(request.path())));
            assertUnknown(UnknownReason.DEADLINE, client.send(request("/slow", Duration.ofMillis(100)), () -> true));
            await().until(() -> closed.equals(List.of("/slow")));
        }

        @Test
        void send_cancelledAfterTheWrite_isUnknownAndClosesTheStream() throws Exception {
            List<String> closed = new CopyOnWriteArrayList<>();
            BackendClient client =
                    client(1, request -> request.response().closeHandler(ignored -> closed.add(request.path())));
            BackendCall call = send(client, "/r");
            await().until(() -> receivedRequests.size() == 1);
            call.cancel();
            assertUnknown(UnknownReason.CANCELLED, call);
            await().until(() -> closed.equals(List.of("/r")));
        }

        @Test
        void send_responseTooLarge_isUnknown() throws Exception {
            BackendClient client = client(
                    1,
                    request -> request.response().end(Buffer.buffer(new byte[BackendExchange.MAX_RESPONSE_BYTES + 1])));
            assertUnknown(UnknownReason.RESPONSE_TOO_LARGE, send(client, "/r"));
        }
    }
}
