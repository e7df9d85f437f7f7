package io.daisyhoist.daemon.process;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.AdaptiveLimit;
import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.routing.PowerOfTwoChoices;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BackendClient;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.connection.PeerTraffic;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.request.Announcement;
import io.daisyhoist.daemon.request.BackendRunner;
import io.daisyhoist.daemon.request.EdgeLimits;
import io.daisyhoist.daemon.request.EdgeRoutes;
import io.daisyhoist.daemon.request.EdgeServer;
import io.daisyhoist.daemon.request.PeerLoads;
import io.daisyhoist.daemon.request.RequestPath;
import io.daisyhoist.daemon.request.TrafficContext;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.daisyhoist.wire.proto.Load;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * A daemon that has its configuration: peer and client ports, request path and group loop.
 *
 * <p>Public methods may be called from any thread.
 */
final class Serving {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** One group per deployment so far; see section 4 of docs/design.md. */
    private static final String GROUP = "main";

    private static final Duration PRESENCE_CHECK = Duration.ofMillis(200);

    private final DaemonSettings settings;
    private final Control control;
    private final GroupLoop groupLoop;
    private final RequestPath path;
    private final BackendClient backend;
    private final PeerServer peerServer;
    private final EdgeServer edgeServer;
    private final InFlightCount inFlight;
    private volatile boolean draining;

    Serving(
            DaemonSettings settings,
            ServiceSettings service,
            Control control,
            Vertx vertx,
            MeterRegistry registry,
            HopTracer tracer) {
        this.settings = settings;
        this.control = control;
        TimeSource time = control.context().time();
        DaemonMetrics metrics = new DaemonMetrics(registry);
        Context context = vertx.getOrCreateContext();
        SplittableRandom random = new SplittableRandom(control.context().self().incarnation() + 1);
        TrafficContext traffic = new TrafficContext(
                context,
                time,
                random,
                control.context().self(),
                settings.zone(),
                control::group,
                control::routing,
                metrics,
                tracer);
        backend = new BackendClient(vertx, context, endpoint(settings.backendUrl()), service.maxConnections(), time);
        AdmissionGate gate = new AdmissionGate(
                time,
                new AdaptiveLimit(time, service.coldLimit(), service.slots()),
                BackendRunner.QUEUE_PER_SLOT * service.slots());
        path = new RequestPath(
                traffic,
                new RequestPath.Collaborators(
                        control.context().peers(),
                        backend,
                        gate,
                        new PowerOfTwoChoices(settings.zone(), random.split()),
                        this::load,
                        (member, version) -> refresh(member.peer()),
                        () -> draining));
        groupLoop = control.groupLoop(GROUP, path.transfer()::handOver, path.transfer()::onGroupChanged);
        peerServer = new PeerServer(
                control.peerLoops(),
                control.identity(),
                PeerLimits.DEFAULT,
                new ControlMessages(control, groupLoop, path.receiver()));
        inFlight = new InFlightCount(path.router(), settings.limits().maxRequestsInFlight());
        EdgeRoutes routes = new EdgeRoutes(
                inFlight,
                name -> control.routing().config().service(name).map(ServiceSettings::requestTimeout),
                edgeLimits(settings),
                time,
                metrics,
                tracer);
        edgeServer = new EdgeServer(vertx, routes.router(vertx), edgeLimits(settings));
        metrics.gauge("daisyhoist.backend.in.flight", "Requests in flight or queued", path.runner()::inFlight);
        metrics.gauge("daisyhoist.backend.limit", "Admission limit", path.runner()::limit);
        PeerTraffic opened = control.context().peers().traffic();
        PeerTraffic accepted = peerServer.traffic();
        metrics.gauge(
                "daisyhoist.peer.sent.bytes",
                "Payload sent to other daemons",
                () -> opened.sentBytes() + accepted.sentBytes());
        metrics.gauge(
                "daisyhoist.peer.received.bytes",
                "Payload received from other daemons",
                () -> opened.receivedBytes() + accepted.receivedBytes());
        metrics.gauge(
                "daisyhoist.partitions.served",
                "Partitions served",
                () -> control.group().served().size());
    }

    private static EdgeLimits edgeLimits(DaemonSettings settings) {
        return new EdgeLimits(
                settings.limits().maxHeaderBytes(), settings.limits().maxBodyBytes());
    }

    private static Endpoint endpoint(URI uri) {
        return new Endpoint(uri.getHost(), uri.getPort());
    }

    private Optional<PeerLoads.Report> load(DaemonId daemon) {
        return control.versions().load(daemon).map(load -> report(load));
    }

    private PeerLoads.Report report(PeerVersions.ReportedLoad load) {
        ElapsedTimer receivedAt = load.receivedAt();
        return new PeerLoads.Report(
                load.inFlight(),
                load.limit(),
                receivedAt.elapsed(control.context().time()));
    }

    private void refresh(Endpoint peer) {
        control.context().control().execute(() -> groupLoop.fetchRecord(peer));
    }

    /** Opens the ports and begins to take part in the group. */
    Future<Void> start() {
        control.reportLoad(() -> Load.newBuilder()
                .setInFlight(path.runner().inFlight())
                .setLimit(path.runner().limit())
                .build());
        Future<?> peer = Future.fromCompletionStage(peerServer.listen(settings.host(), settings.peerPort()));
        Future<?> edge = edgeServer.listen(settings.host(), settings.httpPort());
        return Future.all(peer, edge)
                .onSuccess(open -> {
                    LOGGER.atInfo().log(
                            "event=daemon_serving http=%s peer=%s", settings.httpEndpoint(), settings.peerEndpoint());
                    control.context().control().scheduleRepeating(control::checkBackend, PRESENCE_CHECK);
                    groupLoop.start();
                })
                .mapEmpty();
    }

    /** Takes over a changed configuration; called on the control thread. */
    void onConfig(EffectiveConfig config) {
        control.onConfig(config);
        config.service(settings.service()).ifPresent(path.runner()::onSettings);
        groupLoop.step();
    }

    /** Takes an announcement of the backend server. */
    void onAnnouncement(Announcement announcement) {
        path.runner().onAnnouncement(announcement);
    }

    boolean isDraining() {
        return draining;
    }

    /**
     * Hands over all partitions, leaves the group, and closes the ports when no request is in flight.
     *
     * @param grace longest time to wait before the ports are closed all the same
     */
    CompletableFuture<Void> drain(Duration grace) {
        draining = true;
        return new DrainSequence(control, path.runner(), inFlight, edgeServer, peerServer, backend, grace).start();
    }
}
