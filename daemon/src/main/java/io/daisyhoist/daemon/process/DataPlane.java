package io.daisyhoist.daemon.process;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.routing.PowerOfTwoChoices;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.PeerByteCounter;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.process.settings.LimitOptions;
import io.daisyhoist.daemon.request.Announcement;
import io.daisyhoist.daemon.request.BackendRunner;
import io.daisyhoist.daemon.request.EdgeRoutes;
import io.daisyhoist.daemon.request.EdgeServer;
import io.daisyhoist.daemon.request.PeerLoads;
import io.daisyhoist.daemon.request.RequestPipeline;
import io.daisyhoist.daemon.request.TrafficContext;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.daisyhoist.wire.proto.Load;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * Data plane of a daemon, created once its configuration is known: peer server, client-facing HTTP server and request
 * pipeline. Also starts the group loop once both ports are open.
 *
 * <p>Public methods may be called from any thread.
 */
final class DataPlane {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Name of the only group that a deployment currently has; see section 4 of docs/design.md. */
    private static final String GROUP = "main";

    private static final Duration PRESENCE_CHECK_INTERVAL = Duration.ofMillis(200);

    private final DaemonSettings settings;
    private final ControlPlane controlPlane;
    private final GroupLoop groupLoop;
    private final RequestPipeline pipeline;
    private final BackendClient backendClient;
    private final PeerServer peerServer;
    private final EdgeServer edgeServer;
    private final InFlightLimiter clientRequests;
    private volatile boolean draining;

    DataPlane(
            DaemonSettings settings,
            ServiceSettings serviceSettings,
            ControlPlane controlPlane,
            Vertx vertx,
            MeterRegistry registry,
            HopTracer tracer) {
        this.settings = settings;
        this.controlPlane = controlPlane;
        TimeSource time = controlPlane.context().time();
        DaemonMetrics metrics = new DaemonMetrics(registry);
        Context context = vertx.getOrCreateContext();
        MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());
        SplittableRandom random =
                new SplittableRandom(controlPlane.context().self().incarnation() + 1);
        TrafficContext traffic = new TrafficContext(
                context,
                time,
                random,
                controlPlane.context().self(),
                settings.zone(),
                controlPlane::group,
                controlPlane::routing,
                metrics,
                tracer,
                memory);
        backendClient = new BackendClient(
                vertx, context, toEndpoint(settings.backendUrl()), serviceSettings.maxConnections(), time);
        AdmissionController admissionController = new AdmissionController(
                time,
                new AdaptiveLimit(time, serviceSettings.coldLimit(), serviceSettings.slots()),
                BackendRunner.QUEUE_CAPACITY_PER_SLOT * serviceSettings.slots());
        pipeline = new RequestPipeline(
                traffic,
                new RequestPipeline.Dependencies(
                        controlPlane.context().peers(),
                        backendClient,
                        admissionController,
                        new PowerOfTwoChoices(settings.zone(), random.split()),
                        this::loadOf,
                        (member, version) -> fetchRecordFrom(member.peer()),
                        () -> draining));
        groupLoop =
                controlPlane.newGroupLoop(GROUP, pipeline.transfer()::handOver, pipeline.transfer()::onGroupChanged);
        peerServer = new PeerServer(
                controlPlane.peerLoops(),
                controlPlane.identity(),
                PeerLimits.DEFAULT,
                ConnectionBounds.maxUnidentifiedPeers(
                        settings.limits().connections().maxConnections()),
                new ControlMessageHandler(controlPlane, groupLoop, pipeline.trafficHandler()));
        clientRequests =
                new InFlightLimiter(pipeline.router(), settings.limits().maxRequestsInFlight());
        LimitOptions limits = settings.limits();
        ClientConnectionLimiter limiter =
                EdgeServer.newLimiter(vertx, time, limits.clients(), limits.connections(), memory, metrics);
        EdgeRoutes routes = new EdgeRoutes(
                clientRequests,
                name -> controlPlane.routing().config().service(name).map(ServiceSettings::requestTimeout),
                limiter,
                limits.clients().maxBodyBytes(),
                time,
                metrics,
                tracer);
        edgeServer = new EdgeServer(
                vertx, context, routes.router(vertx), limiter, limits.clients().maxHeaderBytes());
        metrics.gauge("daisyhoist.client.connections", "Open connections of clients", limiter::connections);
        metrics.gauge("daisyhoist.memory.held.bytes", "Memory held for requests and responses", memory::heldBytes);
        metrics.gauge("daisyhoist.backend.in.flight", "Requests in flight or queued", pipeline.runner()::inFlight);
        metrics.gauge("daisyhoist.backend.limit", "Admission limit", pipeline.runner()::limit);
        PeerByteCounter openedConnections = controlPlane.context().peers().byteCounter();
        PeerByteCounter acceptedConnections = peerServer.byteCounter();
        metrics.gauge(
                "daisyhoist.peer.sent.bytes",
                "Payload sent to other daemons",
                () -> openedConnections.sentBytes() + acceptedConnections.sentBytes());
        metrics.gauge(
                "daisyhoist.peer.received.bytes",
                "Payload received from other daemons",
                () -> openedConnections.receivedBytes() + acceptedConnections.receivedBytes());
        metrics.gauge(
                "daisyhoist.partitions.served",
                "Partitions served",
                () -> controlPlane.group().served().size());
    }

    private static Endpoint toEndpoint(URI uri) {
        return new Endpoint(uri.getHost(), uri.getPort());
    }

    private Optional<PeerLoads.Report> loadOf(DaemonId daemon) {
        return controlPlane.peerState().load(daemon).map(load -> toReport(load));
    }

    private PeerLoads.Report toReport(PeerStateTracker.ReportedLoad load) {
        ElapsedTimer receivedAt = load.receivedAt();
        return new PeerLoads.Report(
                load.inFlight(),
                load.limit(),
                receivedAt.elapsed(controlPlane.context().time()));
    }

    private void fetchRecordFrom(Endpoint peer) {
        controlPlane.context().controlThread().execute(() -> groupLoop.fetchRecord(peer));
    }

    /** Opens the peer and client ports, then starts the group loop. */
    Future<Void> start() {
        controlPlane.setLoadSource(() -> Load.newBuilder()
                .setInFlight(pipeline.runner().inFlight())
                .setLimit(pipeline.runner().limit())
                .build());
        Future<?> peer = Future.fromCompletionStage(peerServer.listen(settings.host(), settings.peerPort()));
        Future<?> edge = edgeServer.listen(settings.host(), settings.httpPort());
        return Future.all(peer, edge)
                .onSuccess(open -> {
                    LOGGER.atInfo().log(
                            "event=daemon_serving http=%s peer=%s", settings.httpEndpoint(), settings.peerEndpoint());
                    controlPlane
                            .context()
                            .controlThread()
                            .scheduleWithFixedDelay(controlPlane::checkBackend, PRESENCE_CHECK_INTERVAL);
                    groupLoop.start();
                })
                .mapEmpty();
    }

    /** Applies a changed configuration; called on the control thread. */
    void onConfig(EffectiveConfig config) {
        controlPlane.onConfig(config);
        config.service(settings.service()).ifPresent(pipeline.runner()::onSettings);
        groupLoop.step();
    }

    /** Passes an announcement of the backend server to the request pipeline. */
    void onAnnouncement(Announcement announcement) {
        pipeline.runner().onAnnouncement(announcement);
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Hands over all partitions, leaves the group, and closes the ports once no request is in flight.
     *
     * @param grace maximum wait, after which the ports are closed even if requests are in flight
     */
    CompletableFuture<Void> drain(Duration grace) {
        draining = true;
        return new DrainSequence(
                        controlPlane, pipeline.runner(), clientRequests, edgeServer, peerServer, backendClient, grace)
                .start();
    }
}
