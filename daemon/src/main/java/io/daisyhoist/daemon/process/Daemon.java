package io.daisyhoist.daemon.process;

import java.net.URI;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.lease.LeaseSettings;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HttpPlatformStore;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.request.AdminRoutes;
import io.daisyhoist.daemon.telemetry.Tracing;
import io.daisyhoist.daemon.telemetry.TracingSettings;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;

/**
 * One daemon: starts the admin port, waits for the configuration, then serves until it is drained.
 *
 * <p>Invariant: no request is accepted and no group is joined before the configuration has been read from the platform
 * and names this daemon's service. Thread-safe.
 */
public final class Daemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int EVENT_LOOPS = 2;
    private static final int WORKERS = 1;

    /** Clock drift allowance of the lease; see section 4 of docs/design.md. */
    private static final double LEASE_DRIFT_MARGIN = 0.05;

    private final DaemonSettings settings;
    private final TimeSource time = new SystemTimeSource();
    private final ProcessId self;
    private final ControlThread control = new ControlThread();
    private final Vertx vertx;
    private final HttpPlatformStore store;
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Tracing tracing;
    private final Control parts;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile Optional<Serving> serving = Optional.empty();

    public Daemon(DaemonSettings settings) {
        this.settings = settings;
        this.self = new ProcessId(settings.daemonId(), new SecureRandom().nextLong() >>> 1);
        this.vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOPS)
                .setWorkerPoolSize(WORKERS)
                .setInternalBlockingPoolSize(WORKERS));
        this.store = new HttpPlatformStore(
                vertx, settings.platformUrls().stream().map(URI::toString).toList(), time);
        this.tracing = new Tracing(
                new TracingSettings(settings.traceFile(), Optional.empty()),
                settings.daemonId().name());
        this.parts = new Control(settings, self, time, control, store, leaseSettings(settings));
    }

    private static LeaseSettings leaseSettings(DaemonSettings settings) {
        return new LeaseSettings(
                settings.lease().heartbeat(),
                settings.lease().leaseTtl(),
                LEASE_DRIFT_MARGIN,
                settings.lease().witnesses());
    }

    /** Opens the admin port and begins to read the configuration. */
    public void start() {
        LOGGER.atInfo().log(
                "event=daemon_starting daemon=%s incarnation=%s zone=%s service=%s",
                self.daemon(), Long.toHexString(self.incarnation()), settings.zone(), settings.service());
        AdminService admin = new AdminService(settings, self, time, parts, this::serving, this::drain);
        HttpServer server =
                vertx.createHttpServer().requestHandler(new AdminRoutes(admin, registry::scrape).router(vertx));
        server.listen(settings.adminPort(), settings.host()).onFailure(this::fail);
        control.execute(() -> {
            parts.config().onChange(this::onConfig);
            parts.config().start();
        });
    }

    private Optional<Serving> serving() {
        return serving;
    }

    private void onConfig() {
        EffectiveConfig config = parts.config().tracker().current();
        if (serving.isPresent()) {
            serving.get().onConfig(config);
            return;
        }
        Optional<ServiceSettings> service = config.service(settings.service());
        if (service.isEmpty()) {
            LOGGER.atWarning().log(
                    "event=service_not_configured service=%s config_version=%d", settings.service(), config.version());
            return;
        }
        Serving started = new Serving(settings, service.get(), parts, vertx, registry, tracing.hopTracer());
        serving = Optional.of(started);
        started.start().onFailure(this::fail);
        started.onConfig(config);
    }

    /** Starts the graceful shutdown: hands over all partitions, ends in-flight requests, leaves the group. */
    public void drain() {
        Optional<Serving> current = serving;
        if (current.isEmpty()) {
            close();
            return;
        }
        current.get().drain(settings.limits().shutdownGrace()).whenComplete((done, failure) -> close());
    }

    private void close() {
        control.close();
        tracing.close();
        store.close();
        vertx.close().onComplete(done -> stopped.complete(null));
    }

    private void fail(Throwable cause) {
        stopped.completeExceptionally(cause);
    }

    /** Completes when the daemon has stopped; fails when a port cannot be opened. */
    public CompletableFuture<Void> whenStopped() {
        return stopped.orTimeout(Long.MAX_VALUE, TimeUnit.NANOSECONDS);
    }
}
