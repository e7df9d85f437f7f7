package io.daisyhoist.mesh.request;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.RouteKind;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.route.WeightedService;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.TestHeaderNames;
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

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ClientServerTest {
    private static final FleetSnapshot WITHOUT_ROUTES = new FleetSnapshot(
            Optional.of(new FleetConfig(1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT)),
            Set.of(),
            Map.of(),
            Map.of());

    private static final ServiceName SERVICE = new ServiceName("s");
    private static final Duration ROUTE_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration PAUSE = Duration.ofMillis(300);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    /** Held, because Vert.x closes a client that is garbage collected, also while it waits for a response. */
    private final HttpClient client = vertx.createHttpClient();

    private final TimeSource time = new SystemTimeSource();
    private final MemoryBudget memory = new MemoryBudget(1 << 20);
    private final AtomicInteger sends = new AtomicInteger();
    private final List<Boolean> nested = new CopyOnWriteArrayList<>();
    private List<HttpField> responseHeaders = List.of();
    private Buffer responseBody = Buffer.buffer("body");
    private FleetSnapshot fleet = WITHOUT_ROUTES;
    private final ClientServer server = new ClientServer(vertx, context(), TestHeaderNames.NAMES);
    private final int port =
            result(server.listen(new Endpoint("127.0.0.1", freePort()))).actualPort();

    private static int freePort() {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private RequestContext context() {
        return new RequestContext(
                vertx,
                time,
                () -> fleet,
                SERVICE,
                (member, request, queueWait, cancelled) -> {
                    sends.incrementAndGet();
                    nested.add(request.nested());
                    return Future.succeededFuture(new Answered(200, responseHeaders, responseBody));
                },
                new LoadBalancer(time, new SplittableRandom(1), new AvailabilityZone("z")),
                new FleetRetryBudget(time, 0.2, 50, Duration.ofSeconds(10)),
                new FleetMetrics(),
                memory);
    }

    @AfterEach
    void close() {
        vertx.close();
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
                .compose(request -> request.putHeader("Id", "1").send()));
    }

    private static FleetSnapshot withRoute() {
        return withRoute(RouteKind.IDEMPOTENT);
    }

    private static FleetSnapshot withRoute(RouteKind kind) {
        Route route = new Route(
                "r",
                "h",
                "/x/",
                kind,
                ROUTE_TIMEOUT,
                Duration.ofMillis(200),
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false);
        FleetConfig config = new FleetConfig(1, new RouteTable(List.of(route)), Map.of(), ClientLimits.DEFAULT);
        FleetMember member = new FleetMember(
                new DaemonId("d"),
                1,
                new AvailabilityZone("z"),
                "127.0.0.1",
                1,
                SERVICE,
                Optional.of(new FleetMember.MemberBackend("b", 1, 6, true)));
        return new FleetSnapshot(Optional.of(config), Set.of(), Map.of(member.daemon(), member), Map.of());
    }

    private void pauseEventLoop(CountDownLatch end) {
        vertx.runOnContext(run -> {
            try {
                end.await(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private Socket sendRequest(String id) throws IOException {
        return sendRequest(id, "127.0.0.1");
    }

    private Socket sendRequest(String id, String clientAddress) throws IOException {
        Socket socket = new Socket("127.0.0.1", port, InetAddress.getByName(clientAddress), 0);
        socket.getOutputStream()
                .write(("GET /x/ HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        return socket;
    }

    /** Guards against work for clients that have disconnected while a late event loop had not read their requests. */
    @Test
    void request_disconnectedBeforeItIsRead_isNotSent() throws Exception {
        fleet = withRoute();
        Socket patient = sendRequest("warm-up");
        await().untilAsserted(() -> assertEquals(1, sends.get()));
        CountDownLatch end = new CountDownLatch(1);
        pauseEventLoop(end);
        sendRequest("left").close();
        Socket waiting = sendRequest("waiting");
        Thread.sleep(PAUSE.toMillis());
        end.countDown();
        await().untilAsserted(() -> assertEquals(2, sends.get()));
        await().during(PAUSE).until(() -> sends.get() == 2);
        patient.close();
        waiting.close();
    }

    /** Guards against clients of other instances whose requests go before those of all others. */
    @Test
    void request_ofOtherAddress_isNotNested() throws Exception {
        fleet = withRoute();
        statusLine(sendRequest("1", "127.0.0.1"));
        statusLine(sendRequest("2", "127.0.0.2"));
        assertEquals(List.of(true, false), nested);
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
        server.prepareStop(Deadline.after(time, Duration.ofSeconds(5)));
        server.refuseNewRequests();
        HttpClientResponse response = get();
        assertEquals(503, response.statusCode());
        assertEquals("close", response.getHeader("connection"));
    }

    /** Guards against passing a request on during a planned stop that would be cut off without an answer and not be repeated. */
    @Test
    void request_unrepeatableThatMayOutliveStop_isRefused() throws Exception {
        fleet = withRoute(RouteKind.NON_IDEMPOTENT);
        server.prepareStop(Deadline.after(time, ROUTE_TIMEOUT.minusSeconds(1)));
        assertTrue(statusLine(sendRequest("1")).contains("503"));
        assertEquals(0, sends.get());
    }

    /** Guards against refusing requests during a planned stop that end before it, or that clients repeat. */
    @Test
    void request_duringStopWithEnoughTimeOrRepeatable_isSent() throws Exception {
        fleet = withRoute(RouteKind.NON_IDEMPOTENT);
        server.prepareStop(Deadline.after(time, ROUTE_TIMEOUT.plusSeconds(1)));
        assertTrue(statusLine(sendRequest("1")).contains("200"));
        fleet = withRoute(RouteKind.IDEMPOTENT);
        server.prepareStop(Deadline.after(time, ROUTE_TIMEOUT.minusSeconds(1)));
        assertTrue(statusLine(sendRequest("2")).contains("200"));
    }

    private static String statusLine(Socket socket) throws IOException {
        try (socket) {
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    /** Guards against delivering an answer to another request that a daemon or a connection has confused with this one. */
    @Test
    void request_answerWithForeignId_isUnknown() throws Exception {
        fleet = withRoute();
        responseHeaders = List.of(new HttpField("Id", "2"));
        assertTrue(statusLine(sendRequest("1")).contains("502"));
        assertTrue(statusLine(sendRequest("2")).contains("200"));
    }

    /** Guards against a client that never gets an answer, because a header field of it cannot be written. */
    @Test
    void request_answerWithInvalidHeader_isUnknown() throws Exception {
        fleet = withRoute();
        responseHeaders = List.of(new HttpField("name", "line\nbreak"));
        try (Socket client = sendRequest("1")) {
            client.setSoTimeout(2_000);
            assertTrue(statusLine(client).contains("502"));
        }
        await().until(() -> server.inFlight() == 0);
    }

    /** Guards against a process exit that cuts off a response which its client is still reading. */
    @Test
    void inFlight_responseNotReadCompletely_isCounted() throws Exception {
        fleet = withRoute();
        int bodyBytes = 64 << 20;
        responseBody = Buffer.buffer(new byte[bodyBytes]);
        try (Socket client = sendRequest("slow")) {
            await().untilAsserted(() -> assertEquals(1, sends.get()));
            await().during(PAUSE).until(() -> server.inFlight() == 1);
            long read = 0;
            byte[] chunk = new byte[1 << 20];
            while (read < bodyBytes) {
                read += client.getInputStream().read(chunk);
            }
            await().until(() -> server.inFlight() == 0);
        }
    }
}
