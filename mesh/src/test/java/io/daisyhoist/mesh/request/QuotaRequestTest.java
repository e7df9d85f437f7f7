package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.customer.ApiKeyHash;
import io.daisyhoist.core.customer.ConfigConfirmation;
import io.daisyhoist.core.customer.Customer;
import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.customer.CustomerQuota;
import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.WeightedService;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.TestHeaderNames;
import io.daisyhoist.mesh.quota.FleetQuota;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Requests of a customer with a quota, from the client's connection to the decision. */
class QuotaRequestTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final DaemonId SELF = new DaemonId("d");
    private static final BackendOutcome OK = new Answered(200, List.of(), Buffer.buffer());
    private static final int REQUESTS = 100;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final TimeSource time = new SystemTimeSource();
    private final AtomicInteger sends = new AtomicInteger();
    private final FleetSnapshot fleet = fleet();
    private final HttpClient client = vertx.createHttpClient();
    private BackendOutcome outcome = OK;
    private final int port = listen();

    @AfterEach
    void close() {
        vertx.close();
    }

    private static FleetSnapshot fleet() {
        Route route = new Route(
                "r",
                "h",
                "/x/",
                RouteKind.IDEMPOTENT,
                Duration.ofSeconds(5),
                Duration.ofSeconds(4),
                1,
                List.of(new WeightedService(SERVICE, 1)),
                1,
                false);
        Customer customer = new Customer(
                new CustomerName("acme"),
                Set.of(ApiKeyHash.ofKey("key")),
                OptionalInt.empty(),
                Optional.of(new CustomerQuota(0.1, 1)));
        FleetConfig config = new FleetConfig(
                1,
                new RouteTable(List.of(route)),
                Map.of(),
                ClientLimits.DEFAULT,
                new CustomerTable(List.of(customer)));
        FleetMember member = new FleetMember(
                SELF, 1, ZONE, "127.0.0.1", 1, SERVICE, Optional.of(new FleetMember.MemberBackend("b", 1, 1, true)));
        return new FleetSnapshot(Optional.of(config), Set.of(), Map.of(SELF, member), Map.of());
    }

    private int listen() {
        RequestContext context = new RequestContext(
                vertx,
                time,
                () -> fleet,
                SERVICE,
                (member, request, queueWait, cancelled) -> {
                    sends.incrementAndGet();
                    return Future.succeededFuture(outcome);
                },
                new LoadBalancer(time, new SplittableRandom(1), ZONE),
                new FleetRetryBudget(time, 0.2, 50, Duration.ofSeconds(10)),
                new FleetMetrics(),
                new MemoryBudget(1 << 20));
        FleetQuota quota = new FleetQuota(
                new ProcessId(SELF, 1),
                time,
                CustomerBounds.DEFAULT,
                new SplittableRandom(1),
                () -> fleet,
                new FleetQuota.Standing(() -> true, () -> true),
                new FleetQuota.QuotaIo(
                        (lender, message) -> Future.failedFuture("no other daemon"),
                        (customer, decision, requests) -> {}));
        ApiKeyCheck keyCheck = new ApiKeyCheck(
                new ConfigConfirmation(time, Optional.empty()),
                () -> fleet.config().map(FleetConfig::customers));
        ClientServer server = new ClientServer(
                vertx, context, TestHeaderNames.NAMES, keyCheck, ConnectionBounds.DEFAULT, QuotaCheck.of(quota));
        return result(server.listenOnFreePort("127.0.0.1")).actualPort();
    }

    private static <T> T result(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    private HttpClientResponse get() {
        return result(client.request(HttpMethod.GET, port, "127.0.0.1", "/x/")
                .compose(request -> request.putHeader("Id", "1")
                        .putHeader("Host", "h")
                        .putHeader(TestHeaderNames.NAMES.apiKey(), "key")
                        .send()));
    }

    @Test
    void request_overQuota_refusedAtOnceWithRetryAfter() {
        HttpClientResponse last = null;
        for (int i = 0; i < REQUESTS; i++) {
            last = get();
        }
        assertEquals(429, last.statusCode());
        assertTrue(Double.parseDouble(last.getHeader("Retry-After")) > 0);
        assertTrue(sends.get() > 0);
        assertTrue(sends.get() < REQUESTS, "sent " + sends);
    }

    /** Guards against a customer that is over its quota because an overloaded fleet has refused its requests. */
    @Test
    void request_refusedForAnotherReason_usesNoQuota() {
        outcome = new NotRun(NotRunReason.OVERLOADED, false, Duration.ofMillis(50));
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(503, get().statusCode());
        }
        outcome = OK;
        assertEquals(200, get().statusCode());
    }
}
