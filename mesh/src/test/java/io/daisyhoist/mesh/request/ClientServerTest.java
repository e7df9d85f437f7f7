package io.daisyhoist.mesh.request;

import java.io.IOException;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ClientServerTest {
    private static final HeaderNames NAMES = new HeaderNames(
            "Id",
            "Deadline",
            "Expected",
            "Actual",
            "Caller",
            "Key",
            "Signature",
            "Not-Run",
            "Load",
            value -> OptionalDouble.empty());
    private static final FleetSnapshot WITHOUT_ROUTES = new FleetSnapshot(
            Optional.of(new FleetConfig(1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT)),
            Set.of(),
            Map.of(),
            Map.of());

    private final Vertx vertx = Vertx.vertx();
    private FleetSnapshot fleet = WITHOUT_ROUTES;
    private final ClientServer server = new ClientServer(vertx, context(), NAMES);
    private final int port =
            await(server.listen(new Endpoint("127.0.0.1", freePort()))).actualPort();

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private RequestContext context() {
        TimeSource time = new SystemTimeSource();
        return new RequestContext(
                vertx,
                time,
                () -> fleet,
                new ServiceName("s"),
                (member, request, queueWait, cancelled) -> Future.failedFuture("not used"),
                new LoadBalancer(time, new SplittableRandom(1), new AvailabilityZone("z")),
                new FleetRetryBudget(time, 0.2, 50, Duration.ofSeconds(10)),
                new FleetMetrics());
    }

    @AfterEach
    void close() {
        vertx.close();
    }

    private static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    private HttpClientResponse get() {
        return await(vertx.createHttpClient()
                .request(HttpMethod.GET, port, "127.0.0.1", "/x/")
                .compose(request -> request.putHeader("Id", "1").send()));
    }

    @Test
    void request_withoutRoute_isNotFoundOnlyWithConfiguration() {
        assertEquals(404, get().statusCode());
        fleet = FleetSnapshot.EMPTY;
        assertEquals(503, get().statusCode());
    }

    /** Guards against a request that is accepted late in a graceful shutdown and interrupted by the process exit. */
    @Test
    void request_duringStop_isRefusedAndConnectionCloses() {
        server.closeConnectionsAfterResponses();
        server.refuseNewRequests();
        HttpClientResponse response = get();
        assertEquals(503, response.statusCode());
        assertEquals("close", response.getHeader("connection"));
    }
}
