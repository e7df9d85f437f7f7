package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ThreadLocalRandom;

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
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.mesh.body.BodyLimits;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.daisyhoist.mesh.request.BackendAdmission;
import io.daisyhoist.mesh.request.ClientServer;
import io.daisyhoist.mesh.request.CrashGuard;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.request.Forwarder;
import io.daisyhoist.mesh.request.RequestContext;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import io.netty.channel.EventLoopGroup;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpResponseExpectation;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/**
 * Sends requests through a private request path on loopback, so that its classes are loaded and become part of the class data
 * sharing archive.
 *
 * <p>Without them in the archive, the first requests after a start wait until the classes have been read, verified and
 * linked, which makes the event loop of a small instance late. Invariant: nothing of this request path is visible outside the
 * process except log lines. Confined to the traffic event loop.
 */
final class RequestPathTraining {
    /** Enough for both kinds of forwarding, with and without a body, in any order of events. */
    private static final int REQUESTS = 120;

    private static final int CONCURRENT_REQUESTS = 2;
    private static final String LOOPBACK = "127.0.0.1";
    private static final String NAME = "training";
    private static final ServiceName SERVICE = new ServiceName(NAME);
    private static final AvailabilityZone ZONE = new AvailabilityZone(NAME);
    private static final DaemonId SELF = new DaemonId(NAME + "-local");
    private static final DaemonId PEER = new DaemonId(NAME + "-peer");
    private static final BackendProcessId BACKEND = new BackendProcessId(NAME, 1);
    private static final long MAX_MEMORY_BYTES = 16 << 20;
    private static final int SLOTS = 2 * CONCURRENT_REQUESTS;
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final Buffer BODY = Buffer.buffer("x".repeat(512));

    /** Large enough to be streamed. */
    private static final Buffer LARGE_BODY = Buffer.buffer("x".repeat(2 * BodyLimits.FIRST_PART_BYTES));

    private static final int REQUESTS_PER_LARGE_BODY = 8;

    private final Vertx vertx;
    private final Context context;
    private final TimeSource time;
    private final HeaderNames headerNames;
    private final FleetMetrics metrics = new FleetMetrics();
    private final MemoryBudget memory = new MemoryBudget(MAX_MEMORY_BYTES);
    private final BackendHttpClient backendClient;
    private final PeerClient peerClient;
    private final PeerServer peerServer;
    private final HttpServer backend;
    private final HttpClient client;
    private final ClientServer clientServer;
    private FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private LocalBackendSnapshot localBackend = LocalBackendSnapshot.EMPTY;
    private int clientPort;
    private int started;
    private int answered;

    RequestPathTraining(
            Vertx vertx, Context context, TimeSource time, HeaderNames headerNames, EventLoopGroup peerLoops) {
        this.vertx = vertx;
        this.context = context;
        this.time = time;
        this.headerNames = headerNames;
        this.backendClient = new BackendHttpClient(vertx, context, headerNames, SLOTS, time);
        CrashGuard crashGuard = new CrashGuard(SELF, time, List::of, (receivers, report) -> {});
        BackendAdmission admission = new BackendAdmission(
                time,
                new BackendAdmission.KnownState(ZONE, () -> fleet, () -> localBackend),
                backendClient,
                (key, duration) -> {},
                crashGuard,
                metrics);
        PeerIdentity identity = new PeerIdentity(NAME, new ProcessId(SELF, 1));
        this.peerClient = new PeerClient(peerLoops, identity, PeerLimits.DEFAULT, ThreadLocalRandom.current());
        this.peerServer = new PeerServer(
                peerLoops,
                identity,
                PeerLimits.DEFAULT,
                new ForwardReceiver(
                        context, admission, crashGuard, time, new NoControlMessages(), request -> true, memory));
        this.clientServer = new ClientServer(vertx, requestContext(admission), headerNames);
        this.backend = vertx.createHttpServer().requestHandler(this::respond);
        this.client = vertx.createHttpClient();
    }

    private RequestContext requestContext(BackendAdmission admission) {
        LoadBalancer loadBalancer = new LoadBalancer(time, new SplittableRandom(1), ZONE);
        return new RequestContext(
                vertx,
                time,
                () -> fleet,
                SERVICE,
                new Forwarder(context, SELF, admission, peerClient, loadBalancer, time, request -> true),
                loadBalancer,
                new FleetRetryBudget(time, 1, REQUESTS, TIMEOUT),
                metrics,
                memory);
    }

    /** Control messages are not part of the request path. */
    private static final class NoControlMessages implements ForwardReceiver.PeerMessageListener {
        @Override
        public void onStoreChanges(StoreChanges changes) {
            throw new UnsupportedOperationException("not sent in a training run");
        }

        @Override
        public void onLoad(FleetLoad load) {
            throw new UnsupportedOperationException("not sent in a training run");
        }

        @Override
        public void onOperatorItems(OperatorItems items) {
            throw new UnsupportedOperationException("not sent in a training run");
        }
    }

    private void respond(HttpServerRequest request) {
        request.body()
                .onSuccess(body -> request.response()
                        .putHeader(headerNames.requestId(), request.getHeader(headerNames.requestId()))
                        .putHeader(headerNames.signature(), NAME)
                        .end(BODY));
    }

    /** Sends the requests; the future fails if any of them is not answered with success. */
    Future<Void> run() {
        return listen().compose(listening -> sendAll()).onComplete(done -> close());
    }

    private Future<Void> listen() {
        Promise<Endpoint> peerAddress = Promise.promise();
        peerServer
                .listen(LOOPBACK, 0)
                .whenComplete((address, failure) -> context.runOnContext(run -> {
                    if (failure == null) {
                        peerAddress.complete(address);
                    } else {
                        peerAddress.fail(failure);
                    }
                }));
        return Future.all(backend.listen(0, LOOPBACK), clientServer.listenOnFreePort(LOOPBACK), peerAddress.future())
                .map(listening -> {
                    clientPort = ((HttpServer) listening.resultAt(1)).actualPort();
                    publish(listening.resultAt(2));
                    return null;
                });
    }

    private void publish(Endpoint peerAddress) {
        Endpoint backendAddress = new Endpoint(LOOPBACK, backend.actualPort());
        BackendHeartbeat heartbeat = new BackendHeartbeat(
                BACKEND, 1, backendAddress, SERVICE, SLOTS, false, Duration.ZERO, List.of(), List.of());
        localBackend = new LocalBackendSnapshot(
                Optional.of(LocalBackend.afterHeartbeat(Optional.empty(), heartbeat, time)), List.of(), 0, false);
        Route route = new Route(
                NAME,
                NAME,
                "/",
                RouteKind.IDEMPOTENT,
                TIMEOUT,
                TIMEOUT,
                1,
                List.of(new WeightedService(SERVICE, 1)),
                2,
                false);
        fleet = new FleetSnapshot(
                Optional.of(new FleetConfig(1, new RouteTable(List.of(route)), Map.of(), ClientLimits.DEFAULT)),
                Set.of(),
                Map.of(SELF, member(SELF, peerAddress), PEER, member(PEER, peerAddress)),
                Map.of());
    }

    private static FleetMember member(DaemonId daemon, Endpoint peerAddress) {
        return new FleetMember(
                daemon,
                1,
                ZONE,
                peerAddress.host(),
                peerAddress.port(),
                SERVICE,
                Optional.of(new FleetMember.MemberBackend(BACKEND.id(), BACKEND.startedMillis(), SLOTS, true)));
    }

    private Future<Void> sendAll() {
        Promise<Void> all = Promise.promise();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            sendNext(all);
        }
        return all.future();
    }

    private void sendNext(Promise<Void> all) {
        if (started >= REQUESTS) {
            return;
        }
        started++;
        send(started).onFailure(all::tryFail).onSuccess(body -> {
            answered++;
            if (answered == REQUESTS) {
                all.tryComplete();
            }
            sendNext(all);
        });
    }

    private Future<Buffer> send(int number) {
        HttpMethod method = number % 2 == 0 ? HttpMethod.GET : HttpMethod.POST;
        return client.request(method, clientPort, LOOPBACK, "/" + number)
                .compose(request -> request.putHeader("Host", NAME)
                        .putHeader(headerNames.requestId(), NAME + "-" + number)
                        .putHeader(headerNames.deadlineMs(), Long.toString(TIMEOUT.toMillis()))
                        .send(method == HttpMethod.POST ? body(number) : Buffer.buffer()))
                .expecting(HttpResponseExpectation.SC_OK)
                .compose(response -> response.body());
    }

    private static Buffer body(int number) {
        return number % REQUESTS_PER_LARGE_BODY == 1 ? LARGE_BODY : BODY;
    }

    private void close() {
        client.close();
        clientServer.close();
        peerClient.close();
        peerServer.close();
        backendClient.close();
        backend.close();
    }
}
