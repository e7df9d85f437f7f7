package io.daisyhoist.cli.client;

import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests against a TCP server that answers the first request with a success, and each later one with a failure. */
class BlockingHttpClientTest {
    private static final String SUCCESS = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    private static final String FAILURE = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
    private static final long SECOND_ANSWER_DELAY_MILLIS = 20;

    private final Vertx vertx = Vertx.vertx();
    private final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();
    private final BlockingHttpClient client = new BlockingHttpClient(Duration.ofSeconds(2));

    @AfterEach
    void close() {
        client.close();
        vertx.close();
    }

    /**
     * Starts the server.
     *
     * @param secondAnswer bytes that follow the first answer on its connection, after a delay
     * @param repeatedAnswer bytes that precede the answer to the second request if it comes on the first connection
     */
    private URI serve(String secondAnswer, String repeatedAnswer) {
        NetServer server = vertx.createNetServer().connectHandler(socket -> {
            int connection = connections.incrementAndGet();
            socket.handler(bytes -> {
                if (requests.incrementAndGet() == 1) {
                    socket.write(SUCCESS);
                    writeLater(socket, secondAnswer);
                    return;
                }
                if (connection == 1) {
                    socket.write(repeatedAnswer);
                }
                writeLater(socket, FAILURE);
            });
        });
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        return URI.create("http://127.0.0.1:" + server.actualPort() + "/");
    }

    private void writeLater(NetSocket socket, String bytes) {
        vertx.setTimer(SECOND_ANSWER_DELAY_MILLIS, fired -> socket.write(bytes));
    }

    private int send(URI url) {
        return client.send(HttpMethod.GET, url, Map.of(), Optional.empty()).statusCode();
    }

    /** Guards against a success that is composed of an earlier answer, cut off, and a failure. */
    @Test
    void send_cutOffSecondAnswer_isNotPartOfTheNext() throws Exception {
        URI url = serve("HTTP/1.1 200 OK", "");
        assertEquals(200, send(url));
        Thread.sleep(3 * SECOND_ANSWER_DELAY_MILLIS);
        assertEquals(500, send(url));
    }

    /** Guards against an earlier answer that is written again, and taken for the answer to the next request. */
    @Test
    void send_wholeSecondAnswerBeforeNext_isNotTheNext() {
        URI url = serve("", SUCCESS);
        assertEquals(200, send(url));
        assertEquals(500, send(url));
        assertEquals(2, connections.get());
    }

    /** Guards against a response without a valid status that is taken for an answer. */
    @ParameterizedTest
    @ValueSource(strings = {" 000 X", " 099 X", " 600 X", " 999 X", " 2000 X", " abc X", " -20 X", ""})
    void send_invalidStatus_isNoResponse(String status) {
        NetServer server = vertx.createNetServer()
                .connectHandler(socket ->
                        socket.handler(bytes -> socket.write("HTTP/1.1" + status + "\r\nContent-Length: 0\r\n\r\n")));
        server.listen(0, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
        URI url = URI.create("http://127.0.0.1:" + server.actualPort() + "/");
        NoResponseException failure = assertThrows(NoResponseException.class, () -> send(url));
        assertTrue(failure.maybeSent());
    }
}
