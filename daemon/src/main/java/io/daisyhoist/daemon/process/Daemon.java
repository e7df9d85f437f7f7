package io.daisyhoist.daemon.process;

import java.net.URI;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpPlatformStore;
import io.daisyhoist.daemon.limits.BoundedAcceptTransport;
import io.daisyhoist.daemon.limits.InternalHttpServer;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.request.AdminRoutes;
import io.daisyhoist.daemon.telemetry.Tracing;
import io.daisyhoist.daemon.telemetry.TracingSettings;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.ext.web.Router;

/**
 * Lifecycle of one daemon: opens the admin port, waits for the configuration, and serves requests until it is drained.
 *
 * <p>Invariant: no request is accepted and no group is joined before the configuration has been read from the platform
 * and names this daemon's service. Thread-safe.
 */
public final class Daemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOP_THREADS = 2;
    private static final int WORKER_THREADS = 1;

    /** Clock drift allowance of the lease; see section 4 of docs/design.md. */
    private static final double LEASE_DRIFT_MARGIN = 0.05;

    private final DaemonSettings settings;
    private final TimeSource time = new SystemTimeSource();
    private final ProcessId self;
    private final ControlThread controlThread = new ControlThread();
    private final Vertx vertx;
    private final HttpPlatformStore store;
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Tracing tracing;
    private final ControlPlane controlPlane;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile Optional<DataPlane> dataPlane = Optional.empty();

    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.self = new ProcessId(settings.daemonId(), new SecureRandom().nextLong() >>> 1);
        this.vertx = Vertx.builder()
                .with(new VertxOptions()
                        .setEventLoopPoolSize(EVENT_LOOP_THREADS)
                        .setWorkerPoolSize(WORKER_THREADS)
                        .setInternalBlockingPoolSize(WORKER_THREADS))
                .withTransport(new BoundedAcceptTransport(
                        settings.httpPort(), settings.limits().connections().maxConnections()))
                .build();
        this.store = new HttpPlatformStore(
                vertx, settings.platformUrls().stream().map(URI::toString).toList(), time);
        this.tracing = new Tracing(
                new TracingSettings(settings.traceFile(), Optional.empty()),
                settings.daemonId().name());
        this.controlPlane = new ControlPlane(settings, self, time, controlThread, store, leaseSettings(settings));
    }

    private static LeaseSettings leaseSettings(DaemonSettings settings) {
        return new LeaseSettings(
                settings.lease().heartbeatInterval(),
                settings.lease().leaseTtl(),
                LEASE_DRIFT_MARGIN,
                settings.lease().witnesses());
    }

    /** Opens the admin port and starts reading the configuration. */
    public void start() {
        LOGGER.atInfo().log(
                "event=daemon_starting daemon=%s incarnation=%s zone=%s service=%s",
                self.daemon(), Long.toHexString(self.incarnation()), settings.zone(), settings.service());
        AdminService admin = new AdminService(settings, self, time, controlPlane, this::dataPlane, this::drain);
        Router routes = new AdminRoutes(admin, registry::scrape).router(vertx);
        int maxConnections = ConnectionBounds.maxInternalConnections(
                settings.limits().connections().maxConnections());
        InternalHttpServer.listen(vertx, time, settings.adminEndpoint(), maxConnections, routes::handle)
                .onFailure(this::fail);
        controlThread.execute(() -> {
            controlPlane.config().onChange(this::onConfig);
            controlPlane.config().start();
        });
    }

    private Optional<DataPlane> dataPlane() {
        return dataPlane;
    }

    private void onConfig() {
        EffectiveConfig config = controlPlane.config().tracker().current();
        if (dataPlane.isPresent()) {
            dataPlane.get().onConfig(config);
            return;
        }
        Optional<ServiceSettings> service = config.service(settings.service());
        if (service.isEmpty()) {
            LOGGER.atWarning().log(
                    "event=service_not_configured service=%s config_version=%d", settings.service(), config.version());
            return;
        }
        DataPlane created = new DataPlane(settings, service.get(), controlPlane, vertx, registry, tracing.hopTracer());
        dataPlane = Optional.of(created);
        created.start().onFailure(this::fail);
        created.onConfig(config);
    }

    /** Starts the graceful shutdown: hands over all partitions, completes in-flight requests and leaves the group. */
    public void drain() {
        Optional<DataPlane> current = dataPlane;
        if (current.isEmpty()) {
            close();
            return;
        }
        current.get().drain(settings.limits().shutdownGrace()).whenComplete((done, failure) -> close());
    }

    private void close() {
        controlThread.close();
        tracing.close();
        store.close();
        vertx.close().onComplete(done -> stopped.complete(null));
    }

    private void fail(Throwable cause) {
        stopped.completeExceptionally(cause);
    }

    /** Completes when the daemon has stopped; fails if a port cannot be opened. */
    public CompletableFuture<Void> whenStopped() {
        return stopped.orTimeout(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    }
}
