package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.route.WeightedService;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests against a backend server that does not respond to some requests, and then to no other on their connections. */
class UnansweredExchangesTest {
    private static final Duration DEADLINE = Duration.ofSeconds(60);
    private static final Route ROUTE = new Route(
            "r",
            "",
            "/",
            RouteKind.IDEMPOTENT,
            DEADLINE,
            DEADLINE,
            1,
            List.of(new WeightedService(new ServiceName("s"), 1)),
            2,
            false);

    private final AtomicInteger closedConnections = new AtomicInteger();
    private final BackendClientFixture fixture = new BackendClientFixture(4, request -> Optional.of(ROUTE));

    @AfterEach
    void close() {
        fixture.close();
    }

    private void respond(HttpServerRequest request) {
        String id = request.getHeader("Id");
        if (id.startsWith("dropped")) {
            request.connection().closeHandler(closed -> closedConnections.incrementAndGet());
            return;
        }
        request.response().putHeader("Id", id).putHeader("Signature", "s").end();
    }

    /** Guards against a request that waits for its deadline, and a connection that is used again, after it was dropped. */
    @Test
    void send_requestDroppedWhileOthersAreAnswered_isUnknownAndConnectionClosed() {
        HttpServer server = fixture.vertx().createHttpServer().requestHandler(this::respond);
        BackendClientFixture.await(server.listen(0, "127.0.0.1"));
        Endpoint backend = new Endpoint("127.0.0.1", server.actualPort());
        for (int i = 0; i < 64; i++) {
            send("before-" + i, backend);
        }
        Future<BackendOutcome> dropped = fixture.send("GET", "dropped", backend, DEADLINE);
        AtomicInteger later = new AtomicInteger();
        await().until(() -> {
            send("later-" + later.incrementAndGet(), backend);
            return dropped.isComplete();
        });
        assertEquals(new Unknown(UnknownReason.NO_RESPONSE), dropped.result());
        await().untilAsserted(() -> assertEquals(1, closedConnections.get()));
    }

    private void send(String id, Endpoint backend) {
        assertInstanceOf(Answered.class, BackendClientFixture.await(fixture.send("GET", id, backend, DEADLINE)));
    }
}
