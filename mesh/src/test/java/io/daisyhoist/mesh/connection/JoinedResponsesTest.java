package io.daisyhoist.mesh.connection;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against delivering responses that consist of parts of several ones. */
class JoinedResponsesTest extends ScriptedBackendTestCase {
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
}
