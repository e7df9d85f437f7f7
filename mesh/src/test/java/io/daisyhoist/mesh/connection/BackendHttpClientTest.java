package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.mesh.body.RequestBody;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests against a TCP server that sends fixed bytes in response to each request. */
class BackendHttpClientTest {
    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final TimeSource time = new SystemTimeSource();
    private final BackendHttpClient client = new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, 4, time);
    private final Promise<Void> cancelled = Promise.promise();
    private List<HttpField> headers = List.of();
    private boolean mayBeWritten = true;
    private boolean cancelAfterWrite;

    @AfterEach
    void close() {
        vertx.close();
    }

    private <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    private Endpoint startServer(String bytes, boolean closeAfterwards) {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    if (!bytes.isEmpty()) {
                        socket.write(bytes);
                    }
                    if (closeAfterwards) {
                        socket.close();
                    }
                }));
        await(server.listen(0, "127.0.0.1"));
        return new Endpoint("127.0.0.1", server.actualPort());
    }

    private BackendOutcome send(Endpoint backend, Duration deadline) {
        return send("id-1", backend, deadline);
    }

    private BackendOutcome send(String id, Endpoint backend, Duration deadline) {
        BackendRequestData request = new BackendRequestData(
                id,
                new ServiceName("s"),
                OptionalInt.empty(),
                "GET",
                "/x",
                headers,
                RequestBody.of(Buffer.buffer()),
                1,
                Deadline.after(time, deadline),
                "caller",
                new BackendProcessId("b", 1),
                false,
                Optional.empty(),
                Deadline.after(time, deadline),
                Duration.ZERO,
                false);
        Promise<BackendOutcome> outcome = Promise.promise();
        context.runOnContext(run -> client.send(backend, request, cancelled.future(), new BackendHttpClient.Observer() {
                    @Override
                    public boolean mayBeWritten() {
                        return mayBeWritten;
                    }

                    @Override
                    public void onWrite() {
                        if (cancelAfterWrite) {
                            vertx.setTimer(50, fired -> cancelled.complete());
                        }
                    }

                    @Override
                    public void onConnectionRefused() {}

                    @Override
                    public void onSlowdown(double slowdown) {
                        // Not used by these tests.
                    }
                })
                .onComplete(outcome));
        return await(outcome.future());
    }

    private BackendOutcome sendToServer(String bytes, boolean closeAfterwards) {
        return send(startServer(bytes, closeAfterwards), Duration.ofMillis(700));
    }

    @Nested
    class Responses {
        @Test
        void send_matchingResponse_isDeliveredCompletely() {
            Answered answered = assertInstanceOf(
                    Answered.class,
                    sendToServer(
                            "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", false));
            assertEquals("body", answered.body().toString());
        }

        @Test
        void send_responseWithoutLength_endsWithConnection() {
            Answered answered = assertInstanceOf(
                    Answered.class, sendToServer("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n\r\nbody", true));
            assertEquals("body", answered.body().toString());
        }

        /** Guards against delivering the response to another request. */
        @Test
        void send_responseToAnotherRequest_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.DAMAGED_ANSWER),
                    sendToServer(
                            "HTTP/1.1 200 OK\r\nId: id-0\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody", false));
        }

        /** Guards against delivering a truncated body as complete. */
        @Test
        void send_truncatedBody_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.CONNECTION_LOST),
                    sendToServer("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 9\r\n\r\nbody", true));
        }

        /**
         * Guards against delivering a response whose backend server stopped in the middle of its head and closed; its body
         * would be empty or short, and framed as complete.
         */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: id-1\r\nSignature: s\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nConnection: close\r\n\r\n",
                    "HTTP/1.1 500 Error\r\nId: id-1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                })
        void send_closedWithinHead_isNotDelivered(String response) {
            for (int length = 0; length < response.length(); length++) {
                String part = response.substring(0, length);
                assertInstanceOf(Unknown.class, sendToServer(part, true), "delivered after: " + part);
            }
        }

        @Test
        void send_malformedResponse_isNotDelivered() {
            assertInstanceOf(Unknown.class, sendToServer("garbage\r\n\r\n", true));
        }

        /** Guards against delivering a successful response that no backend server has signed. */
        @Test
        void send_successWithoutSignature_isNotDelivered() {
            assertEquals(
                    new Unknown(UnknownReason.DAMAGED_ANSWER),
                    sendToServer("HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n", false));
        }

        @Test
        void send_rejected_isNotRun() {
            assertEquals(
                    new NotRun(NotRunReason.REJECTED, true, Duration.ZERO),
                    sendToServer("HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false));
        }

        /** Guards against reporting "not run" on the word of a response that may belong to an earlier request. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 503 Full\r\nId: id-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 421 Misdirected\r\nId: id-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
                })
        void send_refusalWithoutOwnId_isUnknown(String response) {
            assertEquals(new Unknown(UnknownReason.DAMAGED_ANSWER), sendToServer(response, false));
        }
    }

    /** A faulty backend server that writes an earlier response once more on the same connection. */
    @Nested
    class LateDuplicates {
        private final List<NetSocket> connections = new CopyOnWriteArrayList<>();
        private final AtomicInteger requests = new AtomicInteger();

        private static String refusal(int number) {
            return "HTTP/1.1 503 Full\r\nId: id-" + number + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
        }

        /** Refuses the first request, and responds to the second one with the same refusal and then its own response. */
        private Endpoint startServer(boolean duplicateBeforeNextRequest) {
            NetServer server = vertx.createNetServer().connectHandler(socket -> {
                connections.add(socket);
                socket.handler(bytes -> {
                    int number = requests.incrementAndGet();
                    if (number == 1) {
                        socket.write(refusal(1));
                        if (duplicateBeforeNextRequest) {
                            vertx.setTimer(50, fired -> socket.write(refusal(1)));
                        }
                        return;
                    }
                    String response =
                            "HTTP/1.1 200 OK\r\nId: id-" + number + "\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
                    if (number == 2 && !duplicateBeforeNextRequest) {
                        socket.write(refusal(1));
                        vertx.setTimer(100, fired -> socket.write(response));
                        return;
                    }
                    socket.write(response);
                });
            });
            await(server.listen(0, "127.0.0.1"));
            return new Endpoint("127.0.0.1", server.actualPort());
        }

        /** Guards against "not run, try again" for a request that is running. */
        @Test
        void send_earlierRefusalBeforeOwnResponse_isUnknownAndConnectionIsClosed() {
            Endpoint backend = startServer(false);
            assertInstanceOf(NotRun.class, send("id-1", backend, Duration.ofSeconds(2)));
            assertEquals(new Unknown(UnknownReason.DAMAGED_ANSWER), send("id-2", backend, Duration.ofSeconds(2)));
            assertEquals(1, connections.size(), "the connection was not reused");
            Answered third = assertInstanceOf(Answered.class, send("id-3", backend, Duration.ofSeconds(2)));
            assertEquals(200, third.status());
            assertEquals(2, connections.size(), "the damaged connection was reused");
        }

        /**
         * Guards against a success in place of a failure: the beginning of an earlier success, cut off anywhere, must not become
         * the beginning of the own response.
         */
        @Test
        void send_partOfEarlierResponseBeforeOwn_statusIsNotTakenFromIt() {
            String earlier = "HTTP/1.1 200 OK\r\nSignature: s-1\r\nId: id-1\r\nContent-Length: 2\r\n\r\nok";
            String own = "HTTP/1.1 500 Error\r\nSignature: s-2\r\nId: id-2\r\nContent-Length: 4\r\n\r\nfail";
            for (int length = 0; length <= earlier.length(); length++) {
                String part = earlier.substring(0, length);
                AtomicInteger received = new AtomicInteger();
                NetServer server = vertx.createNetServer()
                        .connectHandler(socket -> socket.handler(
                                bytes -> socket.write(received.incrementAndGet() == 1 ? earlier : part + own)));
                await(server.listen(0, "127.0.0.1"));
                Endpoint backend = new Endpoint("127.0.0.1", server.actualPort());
                assertInstanceOf(Answered.class, send("id-1", backend, Duration.ofSeconds(2)));
                BackendOutcome second = send("id-2", backend, Duration.ofMillis(300));
                boolean success = second instanceof Answered answered && answered.status() < 500;
                assertFalse(success, "status of the earlier response after: " + part);
                await(server.close());
            }
        }

        /** Guards against matching a response that arrives between two requests to the second one. */
        @Test
        void send_duplicateWhileIdle_isNotTheNextResponse() throws InterruptedException {
            Endpoint backend = startServer(true);
            assertInstanceOf(NotRun.class, send("id-1", backend, Duration.ofSeconds(2)));
            Thread.sleep(200);
            assertInstanceOf(Answered.class, send("id-2", backend, Duration.ofSeconds(2)));
            assertEquals(2, connections.size(), "the damaged connection was reused");
        }
    }

    /** Guards against memory and work for bytes that are not a response and do not end. */
    @Nested
    class EndlessBytes {
        private static final Duration DEADLINE = Duration.ofSeconds(20);
        private static final int BLOCK_BYTES = 65_536;

        private final AtomicBoolean closedByClient = new AtomicBoolean();

        /** Writes a first block and then the same block again and again, as fast as the client reads. */
        private Endpoint startEndlessServer(String first, String repeated) {
            Buffer block = Buffer.buffer(repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length())));
            NetServer server = vertx.createNetServer().connectHandler(socket -> {
                socket.closeHandler(closed -> closedByClient.set(true));
                socket.handler(request -> {
                    socket.write(first);
                    vertx.setPeriodic(1, timer -> {
                        if (closedByClient.get()) {
                            vertx.cancelTimer(timer);
                        } else if (!socket.writeQueueFull()) {
                            socket.write(block);
                        }
                    });
                });
            });
            await(server.listen(0, "127.0.0.1"));
            return new Endpoint("127.0.0.1", server.actualPort());
        }

        private void assertClosedByClient() {
            Awaitility.await().untilTrue(closedByClient);
        }

        @Test
        void send_endlessBody_isCutOff() {
            Endpoint backend =
                    startEndlessServer("HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n\r\n", "x".repeat(BLOCK_BYTES));
            assertEquals(new Unknown(UnknownReason.DAMAGED_ANSWER), send(backend, DEADLINE));
            assertClosedByClient();
        }

        @Test
        void send_endlessBodyOfRejection_isNotRun() {
            Endpoint backend =
                    startEndlessServer("HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\n\r\n", "x".repeat(BLOCK_BYTES));
            assertEquals(new NotRun(NotRunReason.REJECTED, true, Duration.ZERO), send(backend, DEADLINE));
            assertClosedByClient();
        }

        /** Guards against counting responses that were given up, which would end the reads of later ones. */
        @Test
        void send_stalledBodies_leaveRoomForOthers() {
            String head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: ";
            int bodyBytes = 2 << 20;
            Endpoint stalling = startServer(head + 2 * bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes), false);
            for (int i = 0; i < 16; i++) {
                assertInstanceOf(Unknown.class, send(stalling, Duration.ofMillis(150)));
            }
            int largeBytes = 3 << 20;
            Endpoint sound = startServer(head + largeBytes + "\r\n\r\n" + "x".repeat(largeBytes), false);
            Answered answered = assertInstanceOf(Answered.class, send(sound, DEADLINE));
            assertEquals(largeBytes, answered.body().length());
            assertEquals(0, client.responseBytes());
        }

        @Test
        void send_endlessHeaders_isCutOff() {
            Endpoint backend = startEndlessServer("HTTP/1.1 200 OK\r\n", "Name: value\r\n");
            assertInstanceOf(Unknown.class, send(backend, DEADLINE));
            assertClosedByClient();
        }

        @Test
        void send_endlessFirstLine_isCutOff() {
            assertInstanceOf(Unknown.class, send(startEndlessServer("HTTP/1.1 ", "x"), DEADLINE));
            assertClosedByClient();
        }

        /** The HTTP decoder skips line breaks before a response, so that only the deadline ends the exchange. */
        @Test
        void send_endlessLineBreaks_endsAtDeadline() {
            assertInstanceOf(Unknown.class, send(startEndlessServer("", "\r\n"), Duration.ofMillis(500)));
            assertClosedByClient();
        }
    }

    @Nested
    class Failures {
        /** Guards against reporting "not run" for a request that was written. */
        @Test
        void send_closedWithoutResponse_isUnknown() {
            assertEquals(new Unknown(UnknownReason.CONNECTION_LOST), sendToServer("", true));
        }

        @Test
        void send_noResponseBeforeDeadline_isUnknown() {
            assertEquals(new Unknown(UnknownReason.DEADLINE), send(startServer("", false), Duration.ofMillis(150)));
        }

        @Test
        void send_noListener_isNotRun() {
            assertEquals(
                    new NotRun(NotRunReason.UNREACHABLE, false, Duration.ZERO),
                    send(new Endpoint("127.0.0.1", 1), Duration.ofMillis(700)));
        }

        /** Guards against writing a request when the backend server was replaced while the connection was opened. */
        @Test
        void send_observerForbidsWrite_isNotRun() {
            mayBeWritten = false;
            assertInstanceOf(NotRun.class, sendToServer("HTTP/1.1 200 OK\r\n\r\n", false));
        }

        /** Guards against an exchange that holds a slot until its deadline because an exception ended it silently. */
        @Test
        void send_headerThatCannotBeWritten_isNotRun() {
            headers = List.of(new HttpField("name", "line\nbreak"));
            assertEquals(
                    new NotRun(NotRunReason.INVALID, false, Duration.ZERO),
                    sendToServer("HTTP/1.1 200 OK\r\n\r\n", false));
        }

        /** Guards against a request that continues after its client has disconnected. */
        @Test
        void send_cancelled_completesImmediately() {
            cancelAfterWrite = true;
            assertEquals(new Unknown(UnknownReason.CANCELLED), send(startServer("", false), Duration.ofSeconds(4)));
        }
    }
}
