package io.daisyhoist.mesh.connection;

import java.util.List;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.wire.proto.ForwardResponse;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against delivering a response whose status is none, as backend servers in trouble send it. */
class InvalidStatusTest extends ScriptedBackendTestCase {
    private static final String FIELDS = "Id: id-1\r\nSignature: s\r\nContent-Length: 0\r\n";

    private void assertUnknownAndClosed(ResponseFault fault, String head) {
        Endpoint backend = startServer(List.of(head + "\r\n"), List.of(error(2)));
        assertInstanceOf(Unknown.class, send(1, backend));
        BackendClientFixture.await(firstClosed.future());
        assertEquals(List.of(fault), client.faults());
        assertEquals(500, statusOf(send(2, backend)));
        assertEquals(2, connections.get());
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "001", "099", "600", "601", "999", "20", "2000"})
    void send_statusOutOfRange_isUnknownAndClosesTheConnection(String status) {
        assertUnknownAndClosed(ResponseFault.INVALID_STATUS, "HTTP/1.1 " + status + " X\r\n" + FIELDS);
    }

    /** A request that may have run must not be repeated because the response says "not run" besides. */
    @ParameterizedTest
    @ValueSource(strings = {"000", "600"})
    void send_refusalWithoutStatus_isUnknownAndClosesTheConnection(String status) {
        assertUnknownAndClosed(ResponseFault.INVALID_STATUS, "HTTP/1.1 " + status + " X\r\nNot-Run: 1\r\n" + FIELDS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1 abc X", "HTTP/1.1 2x0 X", "HTTP/1.1 -20 X"})
    void send_notThreeDigits_isUnknownAndClosesTheConnection(String statusLine) {
        assertUnknownAndClosed(ResponseFault.UNREADABLE, statusLine + "\r\n" + FIELDS);
    }

    @ParameterizedTest
    @ValueSource(strings = {"HTTP/1.1", "HTTP/1.1 ", "HTTP/1.1 OK"})
    void send_noStatus_isUnknownAndClosesTheConnection(String statusLine) {
        assertUnknownAndClosed(ResponseFault.UNREADABLE, statusLine + "\r\n" + FIELDS);
    }

    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 1, 99, 100, 199, 600, 999, Integer.MAX_VALUE})
    void decode_replyOfDaemonWithInvalidStatus_isUnknown(int status) {
        assertInstanceOf(
                Unknown.class,
                ForwardCodec.decode(ForwardResponse.newBuilder()
                        .setAnsweredByBackend(true)
                        .setStatus(status)
                        .build()));
    }
}
