package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
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
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.TestHeaderNames;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/** Daemons of a fleet on loopback with the whole path of a request, whose backend servers the test writes. */
final class UploadFixture implements AutoCloseable {
    static final long MEMORY_BYTES = 64L << 20;

    private static final ServiceName SERVICE = new ServiceName("s");
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final String HOST = "127.0.0.1";
    private static final int SLOTS = 6;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final BackendProcessId PROCESS = new BackendProcessId("b", 1);

    final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    final Context context = vertx.getOrCreateContext();
    final TimeSource time = new SystemTimeSource();
    final RouteKind kind;
    private final EventLoopGroup peerLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;

    UploadFixture(RouteKind kind) {
        this.kind = kind;
    }

    /** One daemon and its backend server. */
    final class Daemon {
        final DaemonId id;
        final MemoryBudget memory = new MemoryBudget(MEMORY_BYTES);
        final LoadBalancer loadBalancer = new LoadBalancer(time, new SplittableRandom(1), ZONE);
        final BackendAdmission admission;
        final ClientServer clientServer;
        final int clientPort;
        final PeerServer peerServer;
        private final Endpoint peerAddress;

        Daemon(String name, Consumer<HttpServerRequest> backend) {
            this.id = new DaemonId(name);
            HttpServer server = result(
                    vertx.createHttpServer().requestHandler(backend::accept).listen(0, HOST));
            BackendHeartbeat heartbeat = new BackendHeartbeat(
                    PROCESS,
                    1,
                    new Endpoint(HOST, server.actualPort()),
                    SERVICE,
                    SLOTS,
                    false,
                    Duration.ZERO,
                    List.of(),
                    List.of());
            LocalBackendSnapshot snapshot = new LocalBackendSnapshot(
                    Optional.of(LocalBackend.afterHeartbeat(Optional.empty(), heartbeat, time)), List.of(), 0, false);
            CrashGuard crashGuard = new CrashGuard(id, time, List::of, (receivers, report) -> {});
            this.admission = new BackendAdmission(
                    time,
                    new BackendAdmission.KnownState(ZONE, () -> fleet, () -> snapshot),
                    new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, SLOTS, time),
                    (key, duration) -> {},
                    crashGuard,
                    new FleetMetrics());
            PeerIdentity identity = new PeerIdentity("test", new ProcessId(id, 1));
            PeerClient peerClient =
                    new PeerClient(peerLoops, identity, PeerLimits.DEFAULT, ThreadLocalRandom.current());
            this.peerServer = peerServer(
                    identity,
                    new ForwardReceiver(
                            context,
                            admission,
                            crashGuard,
                            time,
                            new ForwardReceiverTest.NoControlMessages(),
                            request -> kind == RouteKind.IDEMPOTENT,
                            memory));
            this.peerAddress = listen(peerServer);
            this.clientServer = new ClientServer(
                    vertx,
                    new RequestContext(
                            vertx,
                            time,
                            () -> fleet,
                            SERVICE,
                            new Forwarder(
                                    context,
                                    id,
                                    admission,
                                    peerClient,
                                    loadBalancer,
                                    time,
                                    request -> kind == RouteKind.IDEMPOTENT),
                            loadBalancer,
                            new FleetRetryBudget(time, 1, 50, Duration.ofSeconds(10)),
                            new FleetMetrics(),
                            memory),
                    TestHeaderNames.NAMES);
            this.clientPort = result(clientServer.listenOnFreePort(HOST)).actualPort();
        }

        FleetMember member() {
            return memberAt(id, peerAddress);
        }

        /** Returns whether no request is in progress and no memory is held. */
        boolean isAtRest() {
            return clientServer.inFlight() == 0 && admission.busy() == 0 && memory.heldBytes() == 0;
        }
    }

    private PeerServer peerServer(PeerIdentity identity, PeerHandler handler) {
        return new PeerServer(peerLoops, identity, PeerLimits.DEFAULT, handler);
    }

    private static Endpoint listen(PeerServer server) {
        try {
            return server.listen(HOST, 0).toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("not listening", e);
        }
    }

    private static FleetMember memberAt(DaemonId daemon, Endpoint peerAddress) {
        return new FleetMember(
                daemon,
                1,
                ZONE,
                peerAddress.host(),
                peerAddress.port(),
                SERVICE,
                Optional.of(new FleetMember.MemberBackend(PROCESS.id(), PROCESS.startedMillis(), SLOTS, true)));
    }

    /** Returns a member whose daemon accepts connections, and handles the messages as the test does. */
    FleetMember memberWith(String name, PeerHandler handler) {
        DaemonId daemon = new DaemonId(name);
        return memberAt(daemon, listen(peerServer(new PeerIdentity("test", new ProcessId(daemon, 1)), handler)));
    }

    /** Makes the backend servers of these members known to all daemons. */
    void publish(FleetMember... members) {
        Route route = new Route(
                "r",
                "h",
                "/",
                kind,
                TIMEOUT,
                Duration.ofMillis(200),
                1,
                List.of(new WeightedService(SERVICE, 1)),
                3,
                false);
        Map<DaemonId, FleetMember> known = new HashMap<>();
        for (FleetMember member : members) {
            known.put(member.daemon(), member);
        }
        fleet = new FleetSnapshot(
                Optional.of(new FleetConfig(1, new RouteTable(List.of(route)), Map.of(), ClientLimits.DEFAULT)),
                Set.of(),
                known,
                Map.of());
    }

    /** Calls a function on the traffic event loop. */
    <T> T onTrafficLoop(Supplier<T> function) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(run -> promise.complete(function.get()));
        return result(promise.future());
    }

    static <T> T result(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    @Override
    public void close() {
        vertx.close();
        peerLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
