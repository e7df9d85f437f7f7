package io.daisyhoist.mesh.connection;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against responses that consist of parts of several ones, and against connections that still carry such parts. */
class JoinedResponsesTest {
    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final Duration PAUSE = Duration.ofMillis(15);
    private static final String OK = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
    private static final String OK_ID_LAST = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\nId: id-1\r\n\r\n";
    private static final String REFUSAL_ID_LAST =
            "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\nId: id-1\r\n\r\n";

    /** Stands for the end of the connection. */
    private static final String CLOSE = "close";

    private final BackendClientFixture client = new BackendClientFixture(4);
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();

    /** Completes when the first connection of the latest server has closed. */
    private Promise<Void> firstClosed = Promise.promise();

    @AfterEach
    void close() {
        client.close();
    }

    private static String error(int number) {
        return "HTTP/1.1 500 Error\r\nId: id-" + number + "\r\nSignature: e\r\nContent-Length: 0\r\n\r\n";
    }

    /** Writes to the n-th request the n-th list of parts, with pauses between them. */
    @SafeVarargs
    private Endpoint startServer(List<String>... partsOfResponses) {
        connections.set(0);
        firstClosed = Promise.promise();
        Promise<Void> closed = firstClosed;
        requests.set(0);
        NetServer server = client.vertx().createNetServer().connectHandler(socket -> {
            connections.incrementAndGet();
            socket.closeHandler(end -> closed.tryComplete());
            socket.handler(bytes -> write(socket, partsOfResponses[requests.getAndIncrement()]));
        });
        BackendClientFixture.await(server.listen(0, "127.0.0.1"));
        return new Endpoint("127.0.0.1", server.actualPort());
    }

    private void write(NetSocket socket, List<String> parts) {
        socket.write(parts.get(0));
        for (int i = 1; i < parts.size(); i++) {
            String part = parts.get(i);
            client.vertx().setTimer(i * PAUSE.toMillis(), fired -> writeOrClose(socket, part));
        }
    }

    private static void writeOrClose(NetSocket socket, String part) {
        if (part.equals(CLOSE)) {
            socket.close();
        } else {
            socket.write(part);
        }
    }

    private BackendOutcome send(String method, int number, Endpoint backend) {
        return send(method, number, backend, DEADLINE);
    }

    private BackendOutcome send(String method, int number, Endpoint backend, Duration deadline) {
        return BackendClientFixture.await(client.send(method, "id-" + number, backend, deadline));
    }

    private BackendOutcome send(int number, Endpoint backend) {
        return send("GET", number, backend);
    }

    private static int statusOf(BackendOutcome outcome) {
        return outcome instanceof Answered answered ? answered.status() : 0;
    }

    /** A response is cut off in its head, and another one follows on the same connection. */
    @Nested
    class CutOffInHead {
        /** Guards against a success in place of the failure that the backend server sent next to the same request. */
        @ParameterizedTest
        @ValueSource(strings = {OK, OK_ID_LAST})
        void send_ownSuccessCutOffThenOwnFailure_isNoSuccess(String success) {
            for (int length = 1; length < success.length(); length++) {
                String part = success.substring(0, length);
                BackendOutcome outcome = send(1, startServer(List.of(part, error(1))));
                assertFalse(statusOf(outcome) == 200, "a success after: " + part);
            }
        }

        /** Guards against "not run" for a request that ran, and that would be repeated. */
        @Test
        void send_ownRefusalCutOffThenOwnFailure_isNotNotRun() {
            for (int length = 1; length < REFUSAL_ID_LAST.length(); length++) {
                String part = REFUSAL_ID_LAST.substring(0, length);
                assertFalse(send(1, startServer(List.of(part, error(1)))) instanceof NotRun, "refused after: " + part);
            }
        }

        /** Guards against "not run" for a request that ran, because an earlier refusal was written once more. */
        @Test
        void send_earlierRefusalCutOffBeforeOwnFailure_isNotNotRun() {
            for (int length = 1; length < REFUSAL_ID_LAST.length(); length++) {
                String part = REFUSAL_ID_LAST.substring(0, length);
                Endpoint backend = startServer(List.of(REFUSAL_ID_LAST), List.of(part, error(2)));
                assertInstanceOf(NotRun.class, send(1, backend));
                assertFalse(send(2, backend) instanceof NotRun, "refused after: " + part);
            }
        }

        /** Guards against the loss of a sound response, because the connection of an earlier one was kept. */
        @ParameterizedTest
        @ValueSource(strings = {OK, OK_ID_LAST, REFUSAL_ID_LAST})
        void send_partOfEarlierResponseWhileUnused_nextRequestIsAnswered(String earlier) {
            for (int length = 1; length < earlier.length(); length++) {
                Endpoint backend = startServer(List.of(OK, earlier.substring(0, length)), List.of(error(2)));
                assertEquals(200, statusOf(send(1, backend)));
                BackendClientFixture.await(firstClosed.future());
                assertEquals(500, statusOf(send(2, backend)), "after " + length + " bytes");
                assertEquals(2, connections.get(), "the damaged connection was reused");
            }
        }
    }

    /** A complete response is followed by bytes that belong to no request, in the same segment. */
    @Nested
    class BytesAfterTheEnd {
        /** Guards against reading the bytes as the beginning of the next response. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "GET|HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbodyX",
                    "GET|HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 ",
                    "GET|HTTP/1.1 204 No\r\nId: id-1\r\nSignature: s\r\nContent-Length: 2\r\n\r\n{}",
                    "GET|HTTP/1.1 304 No\r\nId: id-1\r\nContent-Length: 2\r\n\r\n{}",
                    "HEAD|HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody",
                    "HEAD|HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 13\r\n\r\nHTTP/1.1 200 "
                })
        void send_bytesAfterResponse_connectionIsNotReused(String methodAndResponse) {
            String[] parts = methodAndResponse.split("\\|");
            Endpoint backend = startServer(List.of(parts[1]), List.of(error(2)));
            assertInstanceOf(Answered.class, send(parts[0], 1, backend));
            assertEquals(500, statusOf(send(2, backend)));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        @Test
        void send_secondWholeResponse_connectionIsNotReused() {
            Endpoint backend = startServer(List.of(OK + OK), List.of(error(2)));
            assertEquals(200, statusOf(send(1, backend)));
            assertEquals(500, statusOf(send(2, backend)));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        /** Guards against closing sound connections, which would open one for each request. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\n\r\n|body",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n|4\r\nbody\r\n|0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 103 Early Hints\r\n\r\n|HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n"
                })
        void send_soundResponseInParts_connectionIsReused(String parts) {
            Endpoint backend = startServer(Arrays.asList(parts.split("\\|")), List.of(error(2)));
            assertEquals(200, statusOf(send(1, backend)));
            assertEquals(500, statusOf(send(2, backend)));
            assertEquals(1, connections.get(), "the sound connection was closed");
        }

        /** Guards against bytes that follow a response whose head arrived in parts, of which the decoder keeps them. */
        @Test
        void send_bytesAfterResponseWithHeadInParts_nextRequestIsAnswered() {
            for (int length = 1; length < OK.length(); length++) {
                List<String> parts = List.of(OK.substring(0, length), OK.substring(length) + "HTTP/1.1 200 ");
                Endpoint backend = startServer(parts, List.of(error(2)));
                assertEquals(200, statusOf(send(1, backend)));
                assertEquals(500, statusOf(send(2, backend)), "after " + length + " bytes");
            }
        }

        /** Guards against the loss of a response whose head arrives in parts, or of the one after it. */
        @Test
        void send_soundHeadInParts_itAndTheNextAreDelivered() {
            for (int length = 1; length < OK.length(); length++) {
                Endpoint backend =
                        startServer(List.of(OK.substring(0, length), OK.substring(length)), List.of(error(2)));
                assertEquals(200, statusOf(send(1, backend)));
                assertEquals(500, statusOf(send(2, backend)));
            }
        }
    }

    /** A response was not accepted. */
    @Nested
    class Rejected {
        /** Guards against a later response on a connection that has carried a damaged one. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
                    "HTTP/1.1 200 OK\r\nId: id-9\r\nSignature: s\r\nContent-Length: 4\r\n\r\nbody"
                })
        void send_responseIsRejected_connectionIsNotReused(String damaged) {
            Endpoint backend = startServer(List.of(damaged), List.of(error(2)));
            assertInstanceOf(Unknown.class, send(1, backend));
            assertEquals(500, statusOf(send(2, backend)));
            assertEquals(2, connections.get(), "the damaged connection was reused");
        }

        @Test
        void send_responseAfterDeadline_connectionIsNotReused() {
            Duration deadline = Duration.ofMillis(300);
            int parts = 1 + (int) (deadline.toMillis() / PAUSE.toMillis());
            List<String> late = Collections.nCopies(parts, "\r\n");
            Endpoint backend = startServer(late, List.of(error(2)));
            assertInstanceOf(Unknown.class, send("GET", 1, backend, deadline));
            assertEquals(500, statusOf(send(2, backend)));
            assertEquals(2, connections.get(), "the connection of the late response was reused");
        }
    }

    /** Guards against a response that the client would take for an interim one, and wait for the next. */
    @Nested
    class InterimStatus {
        @ParameterizedTest
        @ValueSource(ints = {101, 102, 104, 199})
        void send_interimStatusOnly_isUnknown(int status) {
            String interim = "HTTP/1.1 " + status + " X\r\nId: id-1\r\nContent-Length: 0\r\n\r\n";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(interim, OK))));
        }

        @ParameterizedTest
        @ValueSource(ints = {100, 103})
        void send_interimThenFinalResponse_finalOneIsDelivered(int status) {
            String interim = "HTTP/1.1 " + status + " X\r\nId: id-9\r\n\r\n";
            assertEquals(500, statusOf(send(1, startServer(List.of(interim, error(1))))));
        }

        @Test
        void decode_replyOfDaemonWithoutFinalStatus_isUnknown() {
            assertInstanceOf(
                    Unknown.class,
                    ForwardCodec.decode(ForwardResponse.newBuilder()
                            .setAnsweredByBackend(true)
                            .setStatus(102)
                            .build()));
        }
    }

    /** A response is cut off in its body, and the backend server begins it once more. */
    @Nested
    class CutOffInBody {
        /** Guards against a body that ends with the head of another response. */
        @Test
        void send_bodyCutOffThenOwnFailure_isUnknown() {
            String head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 60\r\n\r\npart";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(head, error(1)))));
        }

        /** Guards against a body that is filled up by a response to another request. */
        @ParameterizedTest
        @ValueSource(strings = {"part", ""})
        void send_bodyCutOffThenForeignResponse_isUnknown(String part) {
            String foreign = error(0);
            int length = part.length() + foreign.length();
            String head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: " + length + "\r\n\r\n";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(head + part, foreign))));
        }

        /** Guards against a body that is filled up by the beginning of another response, without its id. */
        @Test
        void send_bodyCutOffThenLongerResponse_isUnknown() {
            String head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 24\r\n\r\n";
            assertEquals(
                    new Unknown(UnknownReason.DAMAGED_ANSWER), send(1, startServer(List.of(head + "part", error(0)))));
        }

        /** Guards against a check of the body that takes time in proportion to the square of its size. */
        @Test
        void send_largeBodyOfStatusLines_isDeliveredAtOnce() {
            String body = "HTTP/1.1 200 ".repeat(100_000);
            String response = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            assertEquals(200, statusOf(send(1, startServer(List.of(response)))));
            String unframed = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nConnection: close\r\n\r\n" + body;
            assertEquals(200, statusOf(send(1, startServer(List.of(unframed, CLOSE)))));
        }

        /** Guards against "not run" for a request whose refusal was cut off, and that ran. */
        @Test
        void send_refusalCutOffThenOwnSuccess_isUnknown() {
            String head = "HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\nContent-Length: 60\r\n\r\n";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(head + "part", OK))));
        }

        /** Guards against a body that contains the same response twice, because only the end of the connection ends it. */
        @Test
        void send_bodyWithoutLengthThenSecondResponse_isUnknown() {
            String response = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nConnection: close\r\n\r\nbody";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(response + response, CLOSE))));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"", "4\r\n", "4\r\nbo", "4\r\nbody", "4\r\nbody\r\n", "4\r\nbody\r\n0", "4\r\nbody\r\n0\r\n"
                })
        void send_chunksCutOffThenOwnFailure_isNoSuccess(String chunks) {
            String head = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
            assertFalse(statusOf(send(1, startServer(List.of(head + chunks, error(1))))) == 200);
        }

        /** Guards against a body that takes in the beginning of a second response, because nothing else ends it. */
        @Test
        void send_bodyWithoutLengthThenPartOfSecondResponse_isUnknown() {
            String head = "HTTP/1.1 200 OK\r\nSignature: s\r\nId: id-1\r\nConnection: close\r\n\r\n";
            String second = "HTTP/1.1 200 OK\r\nSignature: s\r\nId";
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(head + "body" + second, CLOSE))));
        }

        /** Guards against rejecting a sound response whose body is about HTTP. */
        @Test
        void send_bodyWithStatusLineOfAnother_isDelivered() {
            String body = "{\"answer\":\"HTTP/1.1 200 OK\",\"request\":\"id-1\"}";
            String response = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: " + body.length()
                    + "\r\n\r\n" + body;
            assertEquals(200, statusOf(send(1, startServer(List.of(response)))));
        }
    }

    /** The connection ends in the middle of a response that only its end delimits. */
    @Nested
    class Reset {
        private static final int CLIENTS = 20;

        /** Guards against taking a reset for the end of a body, if a failed write is the first that notices it. */
        @Test
        void send_resetWhileRequestIsWritten_isNoSuccess() throws Exception {
            try (ServerSocket server = new ServerSocket(0, CLIENTS, InetAddress.getLoopbackAddress())) {
                Endpoint backend = new Endpoint("127.0.0.1", server.getLocalPort());
                for (int i = 1; i <= CLIENTS; i++) {
                    Future<BackendOutcome> outcome =
                            client.send("POST", "id-" + i, backend, DEADLINE, Buffer.buffer(new byte[8 << 20]));
                    try (Socket socket = server.accept()) {
                        socket.setSoLinger(true, 0);
                        socket.getInputStream().read(new byte[1 << 16]);
                        String head =
                                "HTTP/1.1 200 OK\r\nId: id-" + i + "\r\nSignature: s\r\nConnection: close\r\n\r\n";
                        socket.getOutputStream().write((head + "part").getBytes(StandardCharsets.US_ASCII));
                        // The client reads the part while it waits to write the rest of its request.
                        Thread.sleep(PAUSE.toMillis());
                    }
                    assertFalse(statusOf(BackendClientFixture.await(outcome)) == 200, "request " + i);
                }
            }
        }
    }

    /** Guards against a head in which fields of two responses stand. */
    @Nested
    class RepeatedFields {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nId: id-0\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nSignature: t\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 4\r\nContent-Length: 9\r\n\r\nbodybody9"
                })
        void send_fieldTwice_isUnknown(String response) {
            assertInstanceOf(Unknown.class, send(1, startServer(List.of(response))));
        }
    }

    /** A request is sent again with the same id, and the response to its first send comes once more. */
    @Nested
    class SameIdAgain {
        /** Guards against a success, a failure or "not run" that belongs to the earlier send. */
        @ParameterizedTest
        @ValueSource(strings = {OK, REFUSAL_ID_LAST})
        void send_earlierResponseWrittenAgain_isNotTheSecondOne(String earlier) {
            AtomicReference<NetSocket> first = new AtomicReference<>();
            NetServer server = client.vertx()
                    .createNetServer()
                    .connectHandler(socket -> socket.handler(bytes -> {
                        if (first.compareAndSet(null, socket)) {
                            socket.write(earlier);
                            return;
                        }
                        first.get().write(earlier);
                        socket.write(error(1));
                    }));
            BackendClientFixture.await(server.listen(0, "127.0.0.1"));
            Endpoint backend = new Endpoint("127.0.0.1", server.actualPort());
            send(1, backend);
            assertEquals(500, statusOf(send(1, backend)));
        }
    }
}
