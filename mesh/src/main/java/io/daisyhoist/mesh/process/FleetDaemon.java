package io.daisyhoist.mesh.process;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.retry.FleetRetryBudget;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.daemon.process.ControlThread;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.CrashReportCodec;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.daisyhoist.mesh.quota.FleetQuota;
import io.daisyhoist.mesh.quota.PeerQuotaTransport;
import io.daisyhoist.mesh.quota.QuotaReceiver;
import io.daisyhoist.mesh.quota.QuotaReport;
import io.daisyhoist.mesh.request.BackendAdmission;
import io.daisyhoist.mesh.request.ClientServer;
import io.daisyhoist.mesh.request.CrashGuard;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.mesh.request.Forwarder;
import io.daisyhoist.mesh.request.QuotaCheck;
import io.daisyhoist.mesh.request.RequestContext;
import io.daisyhoist.mesh.store.CountedStore;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.OperatorDocuments;
import io.daisyhoist.mesh.telemetry.BalancerTelemetry;
import io.daisyhoist.mesh.telemetry.EventLoopDelay;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * One daemon of a fleet with several services: control state, request path and server ports.
 *
 * <p>Invariant: it reports readiness only after a configuration has been read, and not after a stop was requested.
 * Thread-safe.
 */
public final class FleetDaemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String CLUSTER = "fleet";

    private static final long CRASH_CHECK_INTERVAL_MILLIS = 1_000;
    private static final long STORE_CALLS_LOG_INTERVAL_MILLIS = 10_000;

    /** Maximum connections to the local backend server; includes spare ones beyond those that its slots use. */
    private static final int MAX_BACKEND_CONNECTIONS = 48;

    /** Short timeouts: round trips between instances are short, and requests wait while a peer connection is lost. */
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
    private final HeaderNames headerNames;
    private final TimeSource time = new SystemTimeSource();

    /** Bounds the memory of requests and responses. Confined to the traffic event loop, except reads for metrics. */
    private final MemoryBudget memory = MemoryBudget.ofHeap(Runtime.getRuntime().maxMemory());

    private final ControlThread control = new ControlThread();
    private final FleetMetrics metrics = new FleetMetrics();
    private final EventLoopDelay eventLoopDelay;
    private final FleetControl fleetControl;
    private final EventLoopGroup peerLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final PeerClient peerClient;
    private final PeerServer peerServer;
    private final CrashGuard crashGuard;
    private final BackendAdmission admission;
    private final FleetQuota quota;
    private final ClientServer clientServer;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private boolean stopping;

    /** Creates a daemon that is not started. */
    public FleetDaemon(
            FleetSettings settings,
            Vertx vertx,
            MetadataStore store,
            OperatorDocuments documents,
            HeaderNames headerNames) {
        this.settings = settings;
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
        this.headerNames = headerNames;
        this.eventLoopDelay = new EventLoopDelay(vertx, time);
        long incarnation = new SecureRandom().nextLong() >>> 1;
        PeerIdentity identity = new PeerIdentity(CLUSTER, new ProcessId(settings.daemon(), incarnation));
        this.peerClient = new PeerClient(peerLoops, identity, PEER_LIMITS, ThreadLocalRandom.current());
        this.fleetControl = new FleetControl(
                settings,
                incarnation,
                new FleetControl.Dependencies(
                        time,
                        control,
                        new CountedStore(store, metrics::onStoreCall),
                        documents,
                        new ControlMessageSender(),
                        metrics));
        ApiKeyCheck keyCheck = new ApiKeyCheck(
                fleetControl.configConfirmation(),
                () -> fleetControl.fleet().config().map(FleetConfig::customers));
        BackendHttpClient backendClient =
                new BackendHttpClient(vertx, context, headerNames, MAX_BACKEND_CONNECTIONS, time, this::route);
        this.crashGuard = new CrashGuard(
                settings.daemon(),
                time,
                this::peersOfService,
                (receivers, report) -> sendToPeers(receivers, CrashReportCodec.encode(report)));
        this.admission = new BackendAdmission(
                time,
                new BackendAdmission.KnownState(
                        settings.zone(), fleetControl::fleet, fleetControl::localBackend, keyCheck),
                backendClient,
                fleetControl::onKeyRequest,
                crashGuard,
                metrics);
        this.quota = new FleetQuota(
                identity.process(),
                time,
                settings.bounds().customers(),
                new SplittableRandom(incarnation),
                fleetControl::fleet,
                new FleetQuota.Standing(fleetControl::isRegistrationConfirmed, fleetControl::isFirstProcess),
                new FleetQuota.QuotaIo(new PeerQuotaTransport(context, peerClient), metrics));
        ForwardReceiver forwardReceiver = new ForwardReceiver(
                context, admission, crashGuard, time, fleetControl.peerMessageListener(), this::isIdempotent, memory);
        this.peerServer = new PeerServer(
                peerLoops,
                identity,
                PEER_LIMITS,
                ConnectionBounds.maxUnidentifiedPeers(settings.connections().maxConnections()),
                new QuotaReceiver(context, quota, forwardReceiver));
        LoadBalancer loadBalancer = new LoadBalancer(
                time, new SplittableRandom(incarnation), settings.zone(), new BalancerTelemetry(metrics));
        RequestContext requestContext = new RequestContext(
                vertx,
                time,
                fleetControl::fleet,
                settings.service(),
                new Forwarder(
                        context, settings.daemon(), admission, peerClient, loadBalancer, time, this::isIdempotent),
                loadBalancer,
                new FleetRetryBudget(
                        time,
                        settings.bounds().retryRatio(),
                        settings.bounds().retrySlack(),
                        settings.bounds().retryWindow()),
                metrics,
                memory);
        this.clientServer = new ClientServer(
                vertx, requestContext, headerNames, keyCheck, settings.connections(), QuotaCheck.of(quota));
        addGauges(backendClient);
        addClientGauges();
    }

    /** Returns the other daemons whose backend servers run the same service. */
    private List<FleetMember> peersOfService() {
        return fleetControl.fleet().members().values().stream()
                .filter(member -> member.service().equals(settings.service()))
                .filter(member -> !member.daemon().equals(settings.daemon()))
                .toList();
    }

    private boolean isIdempotent(BackendRequestData request) {
        return route(request).filter(Route::isIdempotent).isPresent();
    }

    private Optional<Route> route(BackendRequestData request) {
        return fleetControl.fleet().config().flatMap(config -> config.routes().find(request.host(), request.path()));
    }

    private void addGauges(BackendHttpClient backendClient) {
        metrics.gauge("daisyhoist.fleet.in.flight", "Requests of clients without an answer", clientServer::inFlight);
        metrics.gauge(
                "daisyhoist.fleet.backend.busy", "Requests at the backend server or waiting for it", admission::busy);
        metrics.gauge(
                "daisyhoist.fleet.backend.unsolicited.reads",
                "Times at which the backend server sent bytes on an unused connection",
                backendClient::unsolicitedReads);
        metrics.gauge(
                "daisyhoist.fleet.backend.retired.connections",
                "Connections that were closed because the head of a response arrived in parts",
                backendClient::retiredConnections);
        metrics.gauge(
                "daisyhoist.fleet.backend.given.up",
                "Requests that were given up because the backend server responded to later ones only",
                backendClient::givenUpRequests);
        metrics.gauge(
                "daisyhoist.fleet.event.loop.delay",
                "Milliseconds by which the traffic event loop last ran late",
                () -> eventLoopDelay.latest().toMillis());
        metrics.gauge(
                "daisyhoist.fleet.members",
                "Daemons that are known",
                () -> fleetControl.fleet().members().size());
        metrics.gauge(
                "daisyhoist.fleet.config.version",
                "Version of the configuration in force",
                () -> fleetControl.fleet().config().map(FleetConfig::version).orElse(0L));
        metrics.gauge(
                "daisyhoist.fleet.config.confirmed.age",
                "Milliseconds since the configuration was last proved to be the newest one; -1 without a proof",
                () -> fleetControl
                        .configConfirmation()
                        .age()
                        .map(Duration::toMillis)
                        .orElse(-1L));
    }

    private void addClientGauges() {
        metrics.gauge("daisyhoist.fleet.client.connections", "Open connections of clients", clientServer::connections);
        for (MemoryUse use : MemoryUse.values()) {
            metrics.memoryGauge(use.name().toLowerCase(Locale.ROOT), () -> memory.heldBytes(use));
        }
    }

    /** Returns all metrics as text. */
    public String metrics() {
        return metrics.scrape();
    }

    /** Opens the server ports and starts reading the store. */
    public void start() {
        LOGGER.atInfo().log(
                "event=daemon_starting daemon=%s zone=%s service=%s clients=%s peers=%s",
                settings.daemon(),
                settings.zone(),
                settings.service(),
                settings.clientAddress(),
                settings.peerAddress());
        fleetControl.start();
        CompletionStage<Endpoint> listening = peerServer.listen(
                settings.peerAddress().host(), settings.peerAddress().port());
        listening.whenComplete((address, failure) -> failIfPresent(failure));
        context.runOnContext(run -> {
            eventLoopDelay.start();
            vertx.setPeriodic(CRASH_CHECK_INTERVAL_MILLIS, fired -> checkCrashes());
            vertx.setPeriodic(FleetQuota.TICK_MILLIS, fired -> quota.tick());
            vertx.setPeriodic(QuotaReport.INTERVAL_MILLIS, fired -> quota.report());
        });
        vertx.setPeriodic(STORE_CALLS_LOG_INTERVAL_MILLIS, fired -> logStoreCalls());
        context.runOnContext(
                run -> clientServer.listen(settings.clientAddress()).onFailure(this::failIfPresent));
    }

    private void checkCrashes() {
        admission.checkProcess();
        crashGuard.repeatReports();
    }

    private void logStoreCalls() {
        LOGGER.atInfo().log(
                "event=store_calls totals=\"%s\" watching=%s", metrics.storeCalls(), fleetControl.isWatchingStore());
    }

    /** Loads the classes of the request path; the future fails if that was not possible. */
    public Future<Void> trainRequestPath() {
        Promise<Void> done = Promise.promise();
        context.runOnContext(run -> new RequestPathTraining(vertx, context, time, headerNames, peerLoops)
                .run()
                .onComplete(done));
        return done.future();
    }

    /** Returns the handler of heartbeats and leave notifications of the local backend server. */
    public BackendReportHandler backendReportHandler() {
        return fleetControl;
    }

    /** Returns whether this daemon is ready to accept client requests. */
    public boolean isReady() {
        return fleetControl.isReady();
    }

    /** Starts a graceful shutdown: reports not ready, then refuses new requests, then completes {@link #whenStopped}. */
    public void stop() {
        context.runOnContext(run -> {
            if (stopping) {
                return;
            }
            stopping = true;
            LOGGER.atInfo().log(
                    "event=daemon_stopping in_flight=%d busy=%d", clientServer.inFlight(), admission.busy());
            fleetControl.stopAccepting();
            Deadline exit = Deadline.after(
                    time, GracefulShutdown.maxDuration(settings.bounds().stopGrace()));
            clientServer.prepareStop(exit);
            admission.prepareStop(exit, this::isIdempotent);
            new GracefulShutdown(vertx, time, exit, this::isIdle, this::refuseRequests, this::completeStop).start();
        });
    }

    private void refuseRequests() {
        admission.close();
        clientServer.refuseNewRequests();
    }

    private boolean isIdle() {
        return clientServer.inFlight() == 0 && admission.busy() == 0;
    }

    private void completeStop() {
        LOGGER.atInfo().log("event=daemon_stopped in_flight=%d busy=%d", clientServer.inFlight(), admission.busy());
        stopped.complete(null);
    }

    /** Returns a future that completes when the daemon has stopped, or fails if a port cannot be opened. */
    public Future<Void> whenStopped() {
        return Future.fromCompletionStage(stopped);
    }

    private void failIfPresent(Throwable failure) {
        if (failure != null) {
            stopped.completeExceptionally(failure);
        }
    }

    /** Uses the connections of the request path, so that a large fleet does not need twice as many. */
    private void sendToPeers(List<FleetMember> receivers, Envelope message) {
        receivers.forEach(member -> peerClient.send(member.peerAddress(), PeerChannel.TRAFFIC, message));
    }

    /** Sends the control messages of this daemon. */
    private final class ControlMessageSender implements FleetControl.PeerSender {
        @Override
        public void send(List<FleetMember> receivers, Envelope message) {
            sendToPeers(receivers, message);
        }

        @Override
        public CompletableFuture<Envelope> call(FleetMember receiver, Envelope question, Duration timeout) {
            return peerClient.call(receiver.peerAddress(), PeerChannel.TRAFFIC, question, timeout);
        }
    }
}
