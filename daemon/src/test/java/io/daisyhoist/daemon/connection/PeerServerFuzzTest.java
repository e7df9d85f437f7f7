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

/** Guards the peer port against input that is not the protocol. */
class PeerServerFuzzTest {
    private static final int ROUNDS = 400;
    private static final Duration LONG = Duration.ofSeconds(10);

    private final AtomicInteger handled = new AtomicInteger();
    private final PeerNode node = new PeerNode("target", "test", (from, message, reply) -> {
        handled.incrementAndGet();
        reply.accept(PeerNode.response("ok"));
    });

    @AfterEach
    void close() {
        node.close();
    }

    /** Noise without a valid hello must never reach the handler, and every connection must end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 20261204})
    void accept_randomBytes_closesAndKeepsServing(long seed) throws Exception {
        Random random = new Random(seed);
        for (int i = 0; i < ROUNDS; i++) {
            byte[] noise = new byte[1 + random.nextInt(2000)];
            random.nextBytes(noise);
            sendAndAwaitClose(noise);
        }
        assertEquals(0, handled.get(), "noise reached the handler");
        assertServes();
    }

    /** A mutated session may be valid by chance, but must neither break the server nor leave connections behind. */
    @ParameterizedTest
    @ValueSource(longs = {2, 20261205})
    void accept_mutatedSession_keepsServing(long seed) throws Exception {
        Random random = new Random(seed);
        byte[] session = validSession();
        for (int i = 0; i < ROUNDS; i++) {
            byte[] mutated = session.clone();
            for (int flips = 1 + random.nextInt(4); flips > 0; flips--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
            }
            sendAndAwaitClose(mutated);
        }
        assertServes();
    }

    /** An announced length of 2 GB must be refused by its prefix, not buffered. */
    @Test
    void accept_hugeAnnouncedFrame_closesBeforeTheBodyArrives() throws Exception {
        byte[] prefix = {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 0x07};
        try (Socket socket = connect()) {
            socket.getOutputStream().write(prefix);
            assertEquals(-1, readToEnd(socket));
        }
    }

    /** A message pipelined before the hello was accepted must not be acted on. */
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
                // The server may close while the rest is being written.
                assertTrue(e.getMessage() != null);
            }
        }
    }

    /** Reads until the server closes; fails by timeout when it does not. */
    private static int readToEnd(Socket socket) throws IOException {
        socket.setSoTimeout((int) LONG.toMillis());
        byte[] buffer = new byte[4096];
        int read;
        do {
            read = socket.getInputStream().read(buffer);
        } while (read >= 0);
        return read;
    }

    private void assertServes() throws Exception {
        await().atMost(LONG).until(() -> node.server.connectionCount() == 0);
        assertTrue(
                node.callAndWait(node.endpoint, PeerNode.request("after"), LONG).hasForwardResponse());
    }

    private Socket connect() throws IOException {
        return new Socket("127.0.0.1", node.endpoint.port());
    }

    private static byte[] validSession() throws IOException {
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
