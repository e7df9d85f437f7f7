package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.CostDecision;
import io.daisyhoist.core.admission.CostRequest;
import io.daisyhoist.core.admission.RequestCost;
import io.daisyhoist.core.admission.RetryAfterSpread;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.ResponseFault;
import io.daisyhoist.mesh.request.SlotQueue.PendingRequest;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Admission control of the local backend server; all requests to it pass through this class.
 *
 * <p>Invariants: a request is written only if, at that moment, the backend server is the expected process, is not leaving,
 * its availability zone is known not to be evacuated, the request has not crashed backend servers, the backend server holds
 * its key, the newest configuration gives the API key to the customer, and there is capacity for another request; otherwise the request is refused as not run. Confined to the traffic event
 * loop.
 */
public final class BackendAdmission {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Failures of a backend server may be quick and say nothing about run times. */
    private static final int SERVER_ERROR = 500;

    /** Retry delay of refusals that have no more specific one. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource time;
    private final AvailabilityZone zone;
    private final Supplier<FleetSnapshot> fleet;
    private final Supplier<LocalBackendSnapshot> localBackend;
    private final ApiKeyCheck keyCheck;
    private final BackendHttpClient client;
    private final SlotQueue slotQueue;
    private final RequestCosts costs;
    private final RetryAfterSpread retryAfterSpread = new RetryAfterSpread(new SplittableRandom());
    private final ColdStartLimiter coldStartLimiter;
    private final KeyRequestListener keyRequestListener;
    private final CrashGuard crashGuard;
    private final FleetMetrics metrics;
    private final SlowdownTracker slowdownTracker;
    private final BackendSpeed backendSpeed;
    private Predicate<BackendRequestData> mayBeInterrupted = request -> false;
    private boolean closed;

    /** Receives requests for keys. */
    public interface KeyRequestListener {
        /** Called when a request for a key arrives, with its expected duration. */
        void onKeyRequest(int key, Duration expectedDuration);
    }

    /**
     * What the daemon knows. Immutable.
     *
     * @param zone availability zone of the backend server
     * @param fleet present state of the fleet
     * @param localBackend present state of the backend server
     * @param keyCheck checks the API keys of requests
     */
    public record KnownState(
            AvailabilityZone zone,
            Supplier<FleetSnapshot> fleet,
            Supplier<LocalBackendSnapshot> localBackend,
            ApiKeyCheck keyCheck) {
        /** Creates the state of a daemon in a fleet without a revocation limit. */
        public KnownState(
                AvailabilityZone zone, Supplier<FleetSnapshot> fleet, Supplier<LocalBackendSnapshot> localBackend) {
            this(
                    zone,
                    fleet,
                    localBackend,
                    ApiKeyCheck.withoutRevocationLimit(
                            new SystemTimeSource(), () -> fleet.get().config().map(FleetConfig::customers)));
        }
    }

    /** Creates admission control that accepts requests. */
    public BackendAdmission(
            TimeSource time,
            KnownState state,
            BackendHttpClient client,
            KeyRequestListener keyRequestListener,
            CrashGuard crashGuard,
            FleetMetrics metrics) {
        this.time = time;
        this.zone = state.zone();
        this.fleet = state.fleet();
        this.localBackend = state.localBackend();
        this.keyCheck = state.keyCheck();
        this.client = client;
        this.keyRequestListener = keyRequestListener;
        this.crashGuard = crashGuard;
        this.metrics = metrics;
        this.slotQueue = new SlotQueue(time, this::send, this::refuseOverloaded);
        this.costs = new RequestCosts(time, fleet);
        this.coldStartLimiter = new ColdStartLimiter(time);
        this.slowdownTracker = new SlowdownTracker(time);
        this.backendSpeed = new BackendSpeed(time);
    }

    /** Returns the load that is reported to other daemons. */
    public LoadBalancer.Report load() {
        int limit = localBackend
                .get()
                .backend()
                .filter(coldStartLimiter::isCold)
                .map(backend -> 1)
                .orElse(slotQueue.slots());
        return backendSpeed.report(busy(), limit, slowdownTracker.factor());
    }

    /** Returns the number of requests that are running or queued. */
    public int busy() {
        return slotQueue.busy();
    }

    /** Looks for a restart of the backend server; to be called about once per second, also while no requests arrive. */
    public void checkProcess() {
        localBackend.get().backend().map(LocalBackend::process).ifPresent(crashGuard::onProcess);
    }

    /**
     * Refuses requests that the exit of the process could interrupt although they must not be repeated.
     *
     * @param exit latest time at which the process exits
     * @param idempotent whether a request may be repeated, according to its route
     */
    public void prepareStop(Deadline exit, Predicate<BackendRequestData> idempotent) {
        mayBeInterrupted = request -> exit.isBefore(request.deadline()) && !idempotent.test(request);
    }

    /** Refuses all further requests; requests in flight continue. */
    public void close() {
        closed = true;
    }

    /**
     * Runs a request.
     *
     * @param queueWait maximum time in the queue; with zero, the request runs only if a slot is free
     * @param cancelled completes when the caller no longer needs the response
     */
    public Future<BackendOutcome> run(BackendRequestData request, Duration queueWait, Future<Void> cancelled) {
        checkProcess();
        Optional<NotRunReason> refusedReason = refusalReason(request);
        if (refusedReason.isPresent()) {
            return Future.succeededFuture(refuse(request, refusedReason.get(), DEFAULT_RETRY_AFTER));
        }
        LocalBackend backend = localBackend.get().backend().orElseThrow();
        slotQueue.setSlots(backend.heartbeat().slots());
        if (!coldStartLimiter.allowsSend(backend, policy(request))) {
            return Future.succeededFuture(refuse(request, NotRunReason.COLD, coldStartLimiter.retryAfter()));
        }
        if (request.hasAlternative() && slowdownTracker.isSlow()) {
            return Future.succeededFuture(refuse(request, NotRunReason.SLOW, Duration.ZERO));
        }
        RequestCost cost = costs.cost(request);
        request.key().ifPresent(key -> keyRequestListener.onKeyRequest(key, RequestCosts.expectedDuration(cost)));
        Promise<BackendOutcome> outcome = Promise.promise();
        slotQueue.offer(new PendingRequest(request, cancelled, outcome, time.monotonicNanos()), cost, queueWait);
        return outcome.future();
    }

    private Optional<ServicePolicy> policy(BackendRequestData request) {
        return fleet.get().config().flatMap(config -> config.service(request.service()));
    }

    private Optional<NotRunReason> refusalReason(BackendRequestData request) {
        LocalBackendSnapshot snapshot = localBackend.get();
        if (closed
                || mayBeInterrupted.test(request)
                || snapshot.backend().filter(LocalBackend::leaving).isPresent()) {
            return Optional.of(NotRunReason.LEAVING);
        }
        boolean isExpectedProcess = snapshot.backend()
                .filter(backend -> backend.process().equals(request.expectedProcess()))
                .filter(backend -> backend.heartbeat().service().equals(request.service()))
                .isPresent();
        if (!isExpectedProcess) {
            return Optional.of(NotRunReason.WRONG_BACKEND);
        }
        if (fleet.get().config().isEmpty()) {
            // Evacuated zones are read together with the configuration and are not known before it.
            return Optional.of(NotRunReason.NO_CONFIGURATION);
        }
        if (fleet.get().isEvacuated(zone)) {
            return Optional.of(NotRunReason.ZONE_EVACUATED);
        }
        if (crashGuard.mustRefuse(request)) {
            return Optional.of(NotRunReason.CRASH_SUSPECT);
        }
        boolean held = request.key().isEmpty() || snapshot.holds(request.key().getAsInt(), time.monotonicNanos());
        if (held) {
            return CustomerAuthenticator.refusalReason(keyCheck, request);
        }
        return Optional.of(snapshot.mayGrant() ? NotRunReason.KEY_MOVING : NotRunReason.KEY_NOT_HELD);
    }

    private NotRun refuse(BackendRequestData request, NotRunReason reason, Duration retryAfter) {
        metrics.onRefusal(reason.name().toLowerCase(Locale.ROOT));
        LOGGER.atInfo().log(
                "event=gate_refused request=%s reason=%s busy=%d limit=%d retry_after_ms=%d",
                request.id(), reason, busy(), slotQueue.slots(), retryAfter.toMillis());
        return new NotRun(reason, false, retryAfter);
    }

    private void refuseOverloaded(PendingRequest pendingRequest, CostDecision.Refused refused) {
        BackendRequestData request = pendingRequest.request();
        String cause = refused.reason().name().toLowerCase(Locale.ROOT);
        metrics.onOverload(cause, request.priority());
        LOGGER.atInfo().log(
                "event=admission_overloaded request=%s cause=%s priority=%d nested=%s waited_ms=%d expected_work_ms=%d",
                request.id(),
                cause,
                request.priority(),
                request.nested(),
                Duration.ofNanos(time.monotonicNanos() - pendingRequest.arrivedNanos())
                        .toMillis(),
                Duration.ofNanos(refused.request().cost().work().plannedNanos()).toMillis());
        Duration retryAfter = retryAfterSpread.spread(refused.retryAfter());
        pendingRequest.outcome().complete(refuse(request, NotRunReason.OVERLOADED, retryAfter));
    }

    private void send(PendingRequest pendingRequest, CostRequest slot) {
        BackendRequestData request = pendingRequest.request();
        Optional<NotRunReason> refusedReason = refusalReason(request);
        if (refusedReason.isPresent()) {
            pendingRequest.outcome().complete(refuse(request, refusedReason.get(), DEFAULT_RETRY_AFTER));
            slotQueue.release(slot);
            return;
        }
        LocalBackend backend = localBackend.get().backend().orElseThrow();
        if (!coldStartLimiter.allowsSend(backend, policy(request))) {
            pendingRequest.outcome().complete(refuse(request, NotRunReason.COLD, coldStartLimiter.retryAfter()));
            slotQueue.release(slot);
            return;
        }
        long sentNanos = time.monotonicNanos();
        metrics.onQueueWait(request.priority(), Duration.ofNanos(sentNanos - pendingRequest.arrivedNanos()));
        crashGuard.onSent(request);
        client.send(
                        backend.heartbeat().address(),
                        request,
                        pendingRequest.cancelled(),
                        new ExchangeObserver(request, backend))
                .onSuccess(outcome -> {
                    Duration latency = Duration.ofNanos(time.monotonicNanos() - sentNanos);
                    logRun(pendingRequest, outcome, sentNanos, latency);
                    if (!request.body().isStreamed()) {
                        backendSpeed.onOutcome(outcome, latency);
                        recordCost(request, outcome, latency);
                    }
                    crashGuard.onOutcome(request, outcome);
                    if (OutcomeClassifier.isConnectionFailure(outcome)) {
                        coldStartLimiter.onConnectionFailure();
                    }
                    pendingRequest.outcome().complete(outcome);
                    slotQueue.release(slot);
                });
    }

    private void logRun(PendingRequest pendingRequest, BackendOutcome outcome, long sentNanos, Duration latency) {
        metrics.onRun(pendingRequest.request().service(), OutcomeLabel.of(outcome), latency);
        LOGGER.atInfo().log(
                "event=gate_run request=%s backend=%s outcome=%s queue_ms=%d run_ms=%d in_flight=%d limit=%d",
                pendingRequest.request().id(),
                pendingRequest.request().expectedProcess(),
                OutcomeLabel.of(outcome),
                Duration.ofNanos(sentNanos - pendingRequest.arrivedNanos()).toMillis(),
                latency.toMillis(),
                slotQueue.inFlight(),
                slotQueue.slots());
    }

    private void recordCost(BackendRequestData request, BackendOutcome outcome, Duration latency) {
        if (outcome instanceof BackendOutcome.Answered answered && answered.status() < SERVER_ERROR) {
            costs.record(request, latency);
        }
    }

    /** Rechecks admission immediately before the write, and records what the exchange reports. */
    private final class ExchangeObserver implements BackendHttpClient.Observer {
        private final BackendRequestData request;
        private final LocalBackend backend;

        private ExchangeObserver(BackendRequestData request, LocalBackend backend) {
            this.request = request;
            this.backend = backend;
        }

        @Override
        public boolean mayBeWritten() {
            return refusalReason(request).isEmpty() && coldStartLimiter.allowsSend(backend, policy(request));
        }

        @Override
        public boolean removesCustomerHeaders() {
            return fleet.get().config().stream()
                    .anyMatch(config -> !config.customers().isEmpty());
        }

        @Override
        public void onWrite() {
            coldStartLimiter.recordSend();
        }

        @Override
        public void onConnectionRefused() {
            crashGuard.onConnectionRefused();
        }

        @Override
        public void onSlowdown(double reported) {
            slowdownTracker.onReport(reported);
        }

        @Override
        public void onResponseFault(ResponseFault fault) {
            metrics.onResponseFault(fault);
        }
    }
}
