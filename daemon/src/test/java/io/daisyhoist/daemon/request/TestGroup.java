package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.config.ZoneState;
import io.daisyhoist.core.lease.LeaseSnapshot;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.MemberState;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.routing.RoundRobinSelector;
import io.daisyhoist.core.routing.RoutingSnapshot;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/** Three daemons with real loopback connections; the test controls their leases and the group record. */
final class TestGroup implements AutoCloseable {
    private static final long MEMORY_BYTES = 64 << 20;

    static final ServiceName SERVICE = new ServiceName("pickup");
    static final PartitionId PARTITION = new PartitionId(SERVICE, 0);
    static final int SIZE = 3;
    static final Duration LONG_TIMEOUT = Duration.ofSeconds(5);

    final Vertx vertx = Vertx.vertx();
    final TimeSource time = new SystemTimeSource();
    final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final List<Node> nodes = new ArrayList<>();
    volatile long version = 1;
    volatile long epoch = 1;
    volatile int owner;
    volatile EffectiveConfig config = config(Map.of());

    TestGroup(Handler<ReceivedRequest> backend) {
        for (int i = 0; i < SIZE; i++) {
            nodes.add(new Node(i, backend));
        }
        publish();
    }

    /** A request that the local backend server of a node received. */
    record ReceivedRequest(int node, HttpServerRequest http) {}

    private static EffectiveConfig config(Map<AvailabilityZone, ZoneState> zones) {
        ServiceSettings settings =
                new ServiceSettings(SERVICE, true, 1, 8, 32, 8, false, Set.of("POST"), Duration.ofSeconds(2));
        return new EffectiveConfig(1, Map.of(SERVICE, settings), zones);
    }

    static <T> T join(Future<T> future) throws Exception {
        return future.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    /** Makes another daemon the owner in a new record version. */
    void move(int newOwner) {
        owner = newOwner;
        version++;
        epoch = version;
        publish();
    }

    /** Raises the record version without changing the grant. */
    void changeRecordOnly() {
        version++;
        publish();
    }

    void zoneOut(int node) {
        config = config(Map.of(nodes.get(node).zone, ZoneState.OUT));
        publish();
    }

    void publish() {
        List<Member> members = nodes.stream().map(Node::member).toList();
        Grant grant = new Grant(PARTITION, nodes.get(owner).session, epoch);
        GroupRecord record = new GroupRecord(version, members, List.of(grant));
        nodes.forEach(node -> node.publish(record));
    }

    InboundRequest request(String method, String path, Optional<String> token) {
        return new InboundRequest(
                SERVICE,
                Optional.of("bin-7"),
                method,
                "/s/pickup/k/bin-7/" + path,
                List.of(),
                Buffer.buffer(path),
                Rank.NORMAL,
                Deadline.after(time, Duration.ofSeconds(2)),
                token.flatMap(AttemptToken::parse),
                Optional.empty());
    }

    /** Sends a request to the edge of a daemon. */
    Future<OutboundResponse> send(int node, String method, String path, Optional<String> token) {
        return nodes.get(node)
                .pipeline
                .router()
                .handle(request(method, path, token), Promise.<Void>promise().future());
    }

    String token(int node) throws Exception {
        return join(send(node, "POST", "confirm", Optional.empty()))
                .attemptToken()
                .orElseThrow();
    }

    @Override
    public void close() throws Exception {
        nodes.forEach(Node::close);
        join(vertx.close());
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** One daemon and its backend server. */
    final class Node {
        final ProcessId self;
        final SessionId session;
        final AvailabilityZone zone;
        final PeerServer server;
        final PeerClient client;
        final RequestPipeline pipeline;
        final AdmissionController admissionController;
        final SimpleMeterRegistry registry = new SimpleMeterRegistry();
        final MemoryBudget memory = new MemoryBudget(MEMORY_BYTES);
        private final Endpoint endpoint;
        private final Handler<HttpServerRequest> requests;
        private HttpServer backend;
        private long incarnation = 1;
        volatile GroupSnapshot snapshot = GroupSnapshot.EMPTY;
        volatile boolean leaseValid = true;
        volatile boolean handingOver;
        final int backendPort;

        Node(int index, Handler<ReceivedRequest> handler) {
            self = new ProcessId(new DaemonId("d" + index), 100 + index);
            session = new SessionId(self.daemon(), self.incarnation(), 1);
            zone = new AvailabilityZone("zone-" + index);
            PeerIdentity identity = new PeerIdentity("test", self);
            client = new PeerClient(eventLoops, identity, PeerLimits.DEFAULT, new Random(index));
            requests = http -> handler.handle(new ReceivedRequest(index, http));
            backend = vertx.createHttpServer().requestHandler(requests);
            backendPort = backend.listen(0, "127.0.0.1")
                    .toCompletionStage()
                    .toCompletableFuture()
                    .join()
                    .actualPort();
            TrafficContext traffic = new TrafficContext(
                    vertx.getOrCreateContext(),
                    time,
                    new Random(index),
                    self,
                    zone,
                    () -> snapshot,
                    () -> RoutingSnapshot.of(snapshot.record(), config),
                    new DaemonMetrics(registry),
                    HopTracer.noop(),
                    memory);
            BackendClient backendClient =
                    new BackendClient(vertx, traffic.context(), new Endpoint("127.0.0.1", backendPort), 32, time);
            admissionController = new AdmissionController(time, new AdaptiveLimit(time, 8, 8), 16);
            pipeline = new RequestPipeline(
                    traffic,
                    new RequestPipeline.Dependencies(
                            client,
                            backendClient,
                            admissionController,
                            new RoundRobinSelector(),
                            daemon -> Optional.empty(),
                            (peer, later) -> {},
                            () -> false));
            server = new PeerServer(eventLoops, identity, PeerLimits.DEFAULT, pipeline.trafficHandler());
            endpoint = server.listen("127.0.0.1", 0).toCompletableFuture().join();
        }

        Member member() {
            return new Member(session, endpoint, endpoint, "region", zone, SERVICE, MemberState.ACTIVE, List.of());
        }

        void publish(GroupRecord record) {
            Map<PartitionId, Grant> served = new HashMap<>();
            Set<PartitionId> handingOverPartitions = new HashSet<>();
            record.grantsOf(session).forEach(grant -> {
                if (handingOver) {
                    handingOverPartitions.add(grant.partition());
                } else {
                    served.put(grant.partition(), grant);
                }
            });
            LeaseSnapshot lease = leaseValid
                    ? new LeaseSnapshot(Optional.of(new LeaseSnapshot.Deadline(
                            time.monotonicNanos() + Duration.ofMinutes(5).toNanos(),
                            time.wallTime().plusSeconds(300))))
                    : LeaseSnapshot.NONE;
            snapshot = new GroupSnapshot(
                    record, record.version(), Optional.of(session), served, handingOverPartitions, lease);
            pipeline.transfer().onGroupChanged();
        }

        void announce() {
            pipeline.runner()
                    .onAnnouncement(new Announcement(
                            SERVICE, incarnation, backendPort, Announcement.State.READY, 0, 0, Duration.ZERO));
        }

        /** Stops the backend server with all its connections and restarts it after a delay with a new incarnation. */
        void crashBackend(Duration downTime) {
            backend.close();
            incarnation++;
            vertx.setTimer(downTime.toMillis(), fired -> {
                backend = vertx.createHttpServer().requestHandler(requests);
                backend.listen(backendPort, "127.0.0.1").onSuccess(listening -> announce());
            });
        }

        void close() {
            client.close();
            server.close();
        }
    }
}
