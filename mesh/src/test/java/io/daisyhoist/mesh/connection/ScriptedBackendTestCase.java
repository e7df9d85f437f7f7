package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.vertx.core.Promise;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;

/** Base of tests against a backend server that writes given bytes in response to each request. */
abstract class ScriptedBackendTestCase {
    static final Duration DEADLINE = Duration.ofSeconds(3);
    static final Duration PAUSE = Duration.ofMillis(15);
    static final String OK = "HTTP/1.1 200 OK\r\nId: id-1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n";
    static final String OK_ID_LAST = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 0\r\nId: id-1\r\n\r\n";
    static final String REFUSAL_ID_LAST = "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\nId: id-1\r\n\r\n";

    /** Stands for the end of the connection. */
    static final String CLOSE = "close";

    final BackendClientFixture client = new BackendClientFixture(4);
    final AtomicInteger connections = new AtomicInteger();
    private final AtomicInteger requests = new AtomicInteger();

    /** Completes when the first connection of the latest server has closed. */
    Promise<Void> firstClosed = Promise.promise();

    @AfterEach
    void close() {
        client.close();
    }

    static String error(int number) {
        return "HTTP/1.1 500 Error\r\nId: id-" + number + "\r\nSignature: e\r\nContent-Length: 0\r\n\r\n";
    }

    /** Writes to the n-th request the n-th list of parts, with pauses between them. */
    @SafeVarargs
    final Endpoint startServer(List<String>... partsOfResponses) {
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

    BackendOutcome send(String method, int number, Endpoint backend) {
        return send(method, number, backend, DEADLINE);
    }

    BackendOutcome send(String method, int number, Endpoint backend, Duration deadline) {
        return BackendClientFixture.await(client.send(method, "id-" + number, backend, deadline));
    }

    BackendOutcome send(int number, Endpoint backend) {
        return send("GET", number, backend);
    }

    static int statusOf(BackendOutcome outcome) {
        return outcome instanceof Answered answered ? answered.status() : 0;
    }
}
