package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against further requests on a connection that may carry parts of an earlier response. */
class ConnectionReuseTest extends ScriptedBackendTestCase {
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
