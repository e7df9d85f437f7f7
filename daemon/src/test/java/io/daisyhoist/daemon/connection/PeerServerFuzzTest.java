package io.daisyhoist.daemon.connection;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.time.Duration;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.Hello;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards the peer port against input that violates the protocol. */
class PeerServerFuzzTest {
    private static final int ROUNDS = 400;
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);

    private final AtomicInteger handled = new AtomicInteger();
    private final PeerNode node = new PeerNode("target", "test", (from, message, reply) -> {
        handled.incrementAndGet();
        reply.accept(PeerNode.response("ok"));
    });

    @AfterEach
    void close() {
        node.close();
    }

    /** Random bytes without a valid hello must never reach the handler, and every connection must be closed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 20261204})
    void accept_randomBytes_closesAndKeepsServing(long seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < ROUNDS; i++) {
            byte[] randomBytes = new byte[1 + random.nextInt(2000)];
            random.nextBytes(randomBytes);
            sendAndAwaitClose(randomBytes);
        }
        assertEquals(0, handled.get(), "random bytes reached the handler");
        assertServes();
    }

    /** A mutated message stream may be valid by chance, but must neither break the server nor leak connections. */
    @ParameterizedTest
    @ValueSource(longs = {2, 20261205})
    void accept_mutatedStream_keepsServing(long seed) throws Exception {
        Random random = new Random(seed);
        byte[] stream = validStream();
        for (int i = 0; i < ROUNDS; i++) {
            byte[] mutated = stream.clone();
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
            }
            sendAndAwaitClose(mutated);
        }
        assertServes();
    }

    /** A declared frame length of 2 GB must be rejected by its prefix, not buffered. */
    @Test
    void accept_hugeDeclaredFrame_closesBeforeTheBodyArrives() throws Exception {
        byte[] prefix = {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07};
        try (Socket socket = connect()) {
            socket.getOutputStream().write(prefix);
            assertEquals(-1, readToEnd(socket));
        }
    }

    /** A message sent before the hello was accepted must not be processed. */
    @Test
    void accept_requestBeforeHello_isNotHandled() throws Exception {
        try (Socket socket = connect()) {
            PeerNode.request("early").writeDelimitedTo(socket.getOutputStream());
            readToEnd(socket);
        }
        assertEquals(0, handled.get());
    }

    private void sendAndAwaitClose(byte[] bytes) throws IOException {
        try (Socket socket = connect()) {
            try {
                socket.getOutputStream().write(bytes);
                socket.shutdownOutput();
                readToEnd(socket);
            } catch (SocketException e) {
                // The server may close the connection during the write.
                assertTrue(e.getMessage() != null);
            }
        }
    }

    /** Reads until the server closes the connection; times out if it doesn't. */
    private static int readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
        byte[] buffer = new byte[4096];
        int read;
        do {
            read = socket.getInputStream().read(buffer);
        } while (read >= 0);
        return read;
    }

    private void assertServes() throws Exception {
        await().atMost(LONG_TIMEOUT).until(() -> node.server.connectionCount() == 0);
        assertTrue(node.callAndWait(node.endpoint, PeerNode.request("after"), LONG_TIMEOUT)
                .hasForwardResponse());
    }

    private Socket connect() throws IOException {
        return new Socket("127.0.0.1", node.endpoint.port());
    }

    private static byte[] validStream() throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PeerIdentity identity = new PeerIdentity("test", new ProcessId(new DaemonId("fuzz"), 9));
        identity.hello().writeDelimitedTo(out);
        for (int i = 1; i <= 5; i++) {
            PeerNode.request("/s/archive/k/dish-" + i).toBuilder()
                    .setRequestId(i)
                    .build()
                    .writeDelimitedTo(out);
        }
        Envelope.newBuilder()
                .setHello(Hello.newBuilder().setCluster("test"))
                .build()
                .writeDelimitedTo(out);
        return out.toByteArray();
    }
}
