package io.daisyhoist.daemon.telemetry;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.model.ServiceName;
import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/**
 * Counters, timers and gauges of the daemon.
 *
 * <p>Service labels contain only names of configured services, so clients cannot create time series. Thread-safe.
 */
public final class DaemonMetrics {
    private static final double[] PERCENTILES = {0.5, 0.95, 0.99};

    private final MeterRegistry registry;

    /** Creates the metrics in a registry. */
    public DaemonMetrics(MeterRegistry registry) {
        this.registry = registry;
    }

    /**
     * Records the response to a client request.
     *
     * @param refusal code of a refusal; empty for the response of a backend server
     * @param latency time from the arrival of the request to its response
     */
    public void onResponse(ServiceName service, Optional<RefusalCode> refusal, RunState run, Duration latency) {
        String refusalLabel = refusal.map(RefusalCode::label).orElse("none");
        Timer.builder("daisyhoist.request.duration")
                .description("Time from the arrival of a request to its answer")
                .tag("service", service.name())
                .tag("refusal", refusalLabel)
                .tag("run", run.label())
                .publishPercentiles(PERCENTILES)
                .register(registry)
                .record(latency.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Records a request that was refused before its service was validated. */
    public void onRefusedAtEdge(RefusalCode code) {
        counter("daisyhoist.edge.refusals", "Invalid requests", "refusal", code.label());
    }

    /** Records a request of a client that was refused, or a connection that was closed, for a limit. */
    public void onClientRefused(CloseReason reason) {
        counter("daisyhoist.client.refusals", "Requests and connections beyond a limit", "reason", reason.label());
    }

    /** Records the outcome of a request to the local backend server. */
    public void onBackendResult(ServiceName service, String outcome, Duration latency) {
        Timer.builder("daisyhoist.backend.duration")
                .description("Time from sending a request to the backend server to its end")
                .tag("service", service.name())
                .tag("outcome", outcome)
                .register(registry)
                .record(latency.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Records a run that ended after the owner's lease had ended. */
    public void onLateRun(ServiceName service) {
        counter("daisyhoist.late_run", "Runs that ended outside their lease", "service", service.name());
    }

    /** Records a retry by the edge. */
    public void onRetry(ServiceName service, RefusalCode cause) {
        registry.counter("daisyhoist.retries", "service", service.name(), "cause", cause.label())
                .increment();
    }

    /** Records a hedged request, of which the edge sent a second copy. */
    public void onHedge(ServiceName service) {
        counter("daisyhoist.hedges", "Second copies of slow requests", "service", service.name());
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    private void counter(String name, String description, String tag, String value) {
        Counter.builder(name)
                .description(description)
                .tag(tag, value)
                .register(registry)
                .increment();
    }
}
