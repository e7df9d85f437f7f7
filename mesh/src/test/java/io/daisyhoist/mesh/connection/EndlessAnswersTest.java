package io.daisyhoist.mesh.connection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Runs the client in a process of its own with the heap of a deployed daemon. */
class EndlessAnswersTest {
    /** Heap of the daemon in the deploy file. */
    private static final String HEAP = "-Xmx160m";

    private static final String HEAD = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\n";
    private static final int BLOCK_BYTES = 65_536;

    private final Vertx vertx = Vertx.vertx();

    @AfterEach
    void close() {
        vertx.close();
    }

    /** Guards against a daemon that runs out of memory because its backend server answers without end, on all connections. */
    @ParameterizedTest
    @CsvSource({"9, body", "48, body", "48, head", "48, rejection"})
    void endlessAnswers_onAllConnections_doNotEndProcess(int connections, String form) throws Exception {
        int port = startServer(form);
        Process probe = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        HEAP,
                        "-XX:+UseSerialGC",
                        "-XX:+ExitOnOutOfMemoryError",
                        "-cp",
                        System.getProperty("java.class.path"),
                        EndlessAnswersProbe.class.getName(),
                        Integer.toString(connections),
                        Integer.toString(port))
                .redirectErrorStream(true)
                .start();
        probe.getOutputStream().close();
        String output = new String(probe.getInputStream().readAllBytes());
        assertTrue(probe.waitFor(40, TimeUnit.SECONDS));
        assertEquals(0, probe.exitValue(), output);
    }

    private int startServer(String form) throws IOException, InterruptedException {
        String first =
                switch (form) {
                    case "body" -> HEAD + "\r\n";
                    case "rejection" -> "HTTP/1.1 503 Full\r\nId: id-1\r\nNot-Run: 1\r\n\r\n";
                    default -> HEAD;
                };
        String repeated = form.equals("head") ? "Name: value\r\n" : "x";
        Buffer block = Buffer.buffer(repeated.repeat(BLOCK_BYTES / repeated.length()));
        NetServer server = vertx.createNetServer()
                .connectHandler(socket -> socket.handler(request -> {
                    socket.write(first);
                    writeWhilePossible(socket, block);
                    socket.drainHandler(drained -> writeWhilePossible(socket, block));
                }));
        return server.listen(0, "127.0.0.1")
                .toCompletionStage()
                .toCompletableFuture()
                .join()
                .actualPort();
    }

    private static void writeWhilePossible(NetSocket socket, Buffer block) {
        boolean open = true;
        while (open && !socket.writeQueueFull()) {
            // The write queue of a closed socket is never full.
            open = !socket.write(block).failed();
        }
    }
}
