package io.daisyhoist.mesh.process;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.routing.BackendLoads;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.process.ControlThread;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.daisyhoist.mesh.request.BackendGate;
import io.daisyhoist.mesh.request.ClientServer;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.request.Forwarder;
import io.daisyhoist.mesh.request.RequestContext;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;

/**
 * One daemon of a fleet with several services: control state, request path and ports.
 *
 * <p>Invariant: it says that it is ready only once a configuration is known, and never again after a stop was requested.
 * Thread-safe.
 */
public final class FleetDaemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CLUSTER = "fleet";

    /** The backend server's connections besides those that carry its slots. */
    private static final int MAX_BACKEND_CONNECTIONS = 48;

    /** Instances lie close together, so that silence shows a lost peer soon; requests wait on these connections. */
    private static final PeerLimits PEER_LIMITS = new PeerLimits(
            16 << 20,
            4096,
            1 << 20,
            8 << 20,
            Duration.ofMillis(300),
            Duration.ofMillis(50),
            Duration.ofMillis(600),
            Duration.ofMillis(200),
            Duration.ofSeconds(60));

    private final FleetSettings settings;
    private final Vertx vertx;
    private final Context context;
    private final TimeSource time = new SystemTimeSource();
    private final ControlThread control = new ControlThread();
    private final FleetMetrics metrics = new FleetMetrics();
    private final FleetControl fleet;
    private final EventLoopGroup peerLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PeerClient peers;
    private final PeerServer peerServer;
    private final BackendGate gate;
    private final ClientServer clients;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean stopping;

    /** Creates a daemon that does nothing yet. */
    public FleetDaemon(
            FleetSettings settings, Vertx vertx, MetadataStore store, OperatorDocuments documents, HeaderNames names) {
        this.settings = settings;
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        long incarnation = new SecureRandom().nextLong() >>> 1;
        PeerIdentity identity = new PeerIdentity(CLUSTER, new ProcessId(settings.daemon(), incarnation));
        this.peers = new PeerClient(peerLoops, identity, PEER_LIMITS, ThreadLocalRandom.current());
        this.fleet = new FleetControl(settings, incarnation, time, control, store, documents, this::sendToPeers);
        BackendHttpClient worker = new BackendHttpClient(vertx, context, names, MAX_BACKEND_CONNECTIONS, time);
        this.gate =
                new BackendGate(time, settings.zone(), fleet::fleet, fleet::local, worker, fleet::onKeyWork, metrics);
        this.peerServer =
                new PeerServer(peerLoops, identity, PEER_LIMITS, new ForwardReceiver(context, gate, time, fleet));
        BackendLoads loads = new BackendLoads(time, new SplittableRandom(incarnation), settings.zone());
        RequestContext requests = new RequestContext(
                vertx,
                time,
                fleet::fleet,
                settings.service(),
                new Forwarder(context, settings.daemon(), gate, peers, loads, time),
                loads,
                new FleetRetryBudget(
                        time,
                        settings.bounds().retryRatio(),
                        settings.bounds().retrySlack(),
                        settings.bounds().retryWindow()),
                metrics);
        this.clients = new ClientServer(vertx, requests, names);
        addGauges();
    }

    private void addGauges() {
        metrics.gauge("daisyhoist.fleet.in.flight", "Requests of clients without an answer", clients::inFlight);
        metrics.gauge("daisyhoist.fleet.backend.busy", "Requests at the backend server or waiting for it", gate::busy);
        metrics.gauge(
                "daisyhoist.fleet.members",
                "Daemons that are known",
                () -> fleet.fleet().members().size());
        metrics.gauge(
                "daisyhoist.fleet.config.version",
                "Version of the configuration in force",
                () -> fleet.fleet().config().map(FleetConfig::version).orElse(0L));
    }

    /** Returns all metrics as text. */
    public String metrics() {
        return metrics.scrape();
    }

    /** Opens the ports and begins to read the store. */
    public void start() {
        LOGGER.atInfo().log(
                "event=daemon_starting daemon=%s zone=%s service=%s clients=%s peers=%s",
                settings.daemon(), settings.zone(), settings.service(), settings.clients(), settings.peers());
        fleet.start();
        CompletionStage<Endpoint> listening =
                peerServer.listen(settings.peers().host(), settings.peers().port());
        listening.whenComplete((address, failure) -> failIf(failure));
        context.runOnContext(run -> clients.listen(settings.clients()).onFailure(this::failIf));
    }

    /** Returns the handler of what the backend server says of itself. */
    public BackendReportHandler backendReports() {
        return fleet;
    }

    /** Returns whether clients may send requests. */
    public boolean isReady() {
        return fleet.isReady();
    }

    /** Ends the process' work: no new clients, then no work, then all ports closed. */
    public void stop() {
        context.runOnContext(run -> {
            if (stopping) {
                return;
            }
            stopping = true;
            LOGGER.atInfo().log("event=daemon_stopping in_flight=%d busy=%d", clients.inFlight(), gate.busy());
            fleet.stopAccepting();
            clients.closeConnectionsAfterAnswers();
            new StopSequence(vertx, time, settings.bounds().stopGrace(), this::isIdle, this::refuseWork, this::end)
                    .start();
        });
    }

    private void refuseWork() {
        gate.close();
        clients.refuseNewRequests();
    }

    private boolean isIdle() {
        return clients.inFlight() == 0 && gate.busy() == 0;
    }

    private void end() {
        LOGGER.atInfo().log("event=daemon_stopped in_flight=%d busy=%d", clients.inFlight(), gate.busy());
        stopped.complete(null);
    }

    /** Completes when the daemon has stopped; fails when a port cannot be opened. */
    public Future<Void> whenStopped() {
        return Future.fromCompletionStage(stopped);
    }

    private void failIf(Throwable failure) {
        if (failure != null) {
            stopped.completeExceptionally(failure);
        }
    }

    private void sendToPeers(List<FleetMember> receivers, Envelope message) {
        receivers.forEach(
                member -> peers.send(new Endpoint(member.peerHost(), member.peerPort()), PeerChannel.CONTROL, message));
    }
}
