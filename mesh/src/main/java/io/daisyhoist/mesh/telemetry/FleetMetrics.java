package io.daisyhoist.mesh.telemetry;

import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.mesh.connection.ResponseFault;
import io.daisyhoist.mesh.quota.QuotaReport;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;

/**
 * Counters, gauges and latency histograms of a daemon.
 *
 * <p>Label values come from the configuration and from fixed sets, so that clients cannot create time series. Thread-safe.
 */
public final class FleetMetrics implements QuotaReport.Metrics {
    private static final Duration[] BUCKETS = {
        Duration.ofMillis(10),
        Duration.ofMillis(25),
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(200),
        Duration.ofMillis(400),
        Duration.ofMillis(800),
        Duration.ofMillis(1_600),
        Duration.ofMillis(3_200)
    };

    /** Priorities from this number on share one label. */
    private static final int LOW_PRIORITY = 4;

    private static final String STORE_CALLS = "daisyhoist.fleet.store.calls";

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /** Looking up a registered timer by its tags costs more than recording a value. */
    private final Map<ResponseSeries, Timer> responseTimers = new ConcurrentHashMap<>();

    private final Map<RunSeries, Timer> runTimers = new ConcurrentHashMap<>();
    private final Map<String, Timer> waitTimers = new ConcurrentHashMap<>();

    private record ResponseSeries(String route, ServiceName service, int status) {}

    private record RunSeries(ServiceName service, String outcome) {}

    /** Records a response to a client. */
    public void onResponse(String route, ServiceName service, int status, Duration latency) {
        responseTimers
                .computeIfAbsent(new ResponseSeries(route, service, status), this::register)
                .record(latency);
    }

    /** Records a request that was sent to the local backend server. */
    public void onRun(ServiceName service, String outcome, Duration latency) {
        runTimers
                .computeIfAbsent(new RunSeries(service, outcome), this::register)
                .record(latency);
    }

    private Timer register(ResponseSeries series) {
        return timer("daisyhoist.fleet.request", "Time from the arrival of a request to its answer")
                .tag("route", series.route())
                .tag("service", series.service().name())
                .tag("status", Integer.toString(series.status()))
                .register(registry);
    }

    private Timer register(RunSeries series) {
        return timer("daisyhoist.fleet.run", "Time from sending a request to the backend server to its end")
                .tag("service", series.service().name())
                .tag("outcome", series.outcome())
                .register(registry);
    }

    /** Counts a request that admission control refused. */
    public void onRefusal(String reason) {
        registry.counter("daisyhoist.fleet.refusals", "reason", reason).increment();
    }

    /** Counts a request of a client that was refused, or a connection that was closed, for a limit. */
    public void onClientRefused(CloseReason reason) {
        registry.counter("daisyhoist.fleet.client.refusals", "reason", reason.label())
                .increment();
    }

    /** Registers a gauge of the memory that is held for one use. */
    public void memoryGauge(String use, Supplier<Number> bytes) {
        Gauge.builder("daisyhoist.fleet.memory.held", bytes)
                .description("Bytes that are held for requests and responses, by use")
                .tag("use", use)
                .register(registry);
    }

    /**
     * Counts a request with a streamed body.
     *
     * @param passedOn whether the body was passed on to its end
     */
    public void onUpload(boolean passedOn) {
        registry.counter("daisyhoist.fleet.uploads", "passed_on", Boolean.toString(passedOn))
                .increment();
    }

    /** Counts a request that was refused for lack of room, at this backend server or before it was sent. */
    public void onOverload(String cause, int priority) {
        registry.counter("daisyhoist.fleet.overload.refusals", "cause", cause, "priority", label(priority))
                .increment();
    }

    /** Records how long a request waited for a slot of the local backend server. */
    public void onQueueWait(int priority, Duration wait) {
        waitTimers
                .computeIfAbsent(
                        label(priority),
                        any -> timer(
                                        "daisyhoist.fleet.queue.wait",
                                        "Time until a request got a slot of the backend server")
                                .tag("priority", any)
                                .register(registry))
                .record(wait);
    }

    private static String label(int priority) {
        return priority < LOW_PRIORITY ? Integer.toString(priority) : LOW_PRIORITY + "+";
    }

    /** Counts a retry on another backend server. */
    public void onRetry(ServiceName service) {
        registry.counter("daisyhoist.fleet.retries", "service", service.name()).increment();
    }

    /** Counts a request that was refused because the backend servers of its service reject most requests. */
    public void onEarlyRefusal(ServiceName service) {
        registry.counter("daisyhoist.fleet.early.refusals", "service", service.name())
                .increment();
    }

    /** Counts a backend server that was taken out of selection for some time. */
    public void onEjection() {
        registry.counter("daisyhoist.fleet.ejections").increment();
    }

    @Override
    public void onQuota(String customer, String decision, long requests) {
        registry.counter("daisyhoist.fleet.quota", "customer", customer, "decision", decision)
                .increment(requests);
    }

    /** Counts a call of the store. */
    public void onStoreCall(String kind) {
        registry.counter(STORE_CALLS, "kind", kind).increment();
    }

    /** Counts a return of the store from an older copy. */
    public void onStoreEraChange() {
        registry.counter("daisyhoist.fleet.store.era.changes").increment();
    }

    /** Returns the number of calls of the store so far by their kind. */
    public Map<String, Long> storeCalls() {
        Map<String, Long> calls = new TreeMap<>();
        registry.find(STORE_CALLS)
                .counters()
                .forEach(counter -> calls.put(counter.getId().getTag("kind"), Math.round(counter.count())));
        return calls;
    }

    /** Counts an item of the store or a message that was ignored because it could not be decoded. */
    public void onRejectedInput(String source) {
        registry.counter("daisyhoist.fleet.rejected.inputs", "source", source).increment();
    }

    /** Counts a response of a backend server with a fault. */
    public void onResponseFault(ResponseFault fault) {
        registry.counter(
                        "daisyhoist.fleet.response.faults",
                        "fault",
                        fault.name().toLowerCase(Locale.ROOT))
                .increment();
    }

    /** Counts an unexpected exception after which the work of the control thread went on. */
    public void onFailedCallback() {
        registry.counter("daisyhoist.fleet.failed.callbacks").increment();
    }

    /** Registers a gauge that reads its value on each scrape. */
    public void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return registry.scrape();
    }

    private static Timer.Builder timer(String name, String description) {
        return Timer.builder(name).description(description).serviceLevelObjectives(BUCKETS);
    }
}
