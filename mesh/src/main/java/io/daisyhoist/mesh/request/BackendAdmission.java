package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.admission.AdmissionDecision;
import io.daisyhoist.core.admission.AdmissionUpdate;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.QueueEntry;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.admission.SlotLimit;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.error.Refusal;
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
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

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
    private static final int MAX_QUEUED_PER_SLOT = 4;

    /** Slots reserved for short, urgent requests while lower ranks send long ones. */
    private static final int RESERVED_SLOTS = 1;

    /** Backend servers with fewer slots have none to reserve. */
    private static final int MIN_SLOTS_TO_RESERVE = 3;

    /** Retry delay of refusals that have no more specific one. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(100);

    private final TimeSource time;
    private final AvailabilityZone zone;
    private final Supplier<FleetSnapshot> fleet;
    private final Supplier<LocalBackendSnapshot> localBackend;
    private final ApiKeyCheck keyCheck;
    private final BackendHttpClient client;
    private final AdmissionController admissionController;
    private final SlotLimit slots = new SlotLimit(1);
    private final ColdStartLimiter coldStartLimiter;
    private final KeyRequestListener keyRequestListener;
    private final CrashGuard crashGuard;
    private final FleetMetrics metrics;
    private final ServiceTimeEstimator serviceTimeEstimator = new ServiceTimeEstimator();
    private final Map<Long, PendingRequest> queuedRequests = new HashMap<>();
    private final SlowdownTracker slowdownTracker;
    private int configuredSlots = 1;
    private Predicate<BackendRequestData> mayBeInterrupted = request -> false;
    private boolean closed;

    private record PendingRequest(
            BackendRequestData request, Future<Void> cancelled, Promise<BackendOutcome> outcome, long arrivedNanos) {}

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
        this.admissionController = new AdmissionController(time, slots, MAX_QUEUED_PER_SLOT);
        this.coldStartLimiter = new ColdStartLimiter(time);
        this.slowdownTracker = new SlowdownTracker(time);
    }

    /** Returns the load that is reported to other daemons. */
    public LoadBalancer.Report load() {
        int limit = localBackend
                .get()
                .backend()
                .filter(coldStartLimiter::isCold)
                .map(backend -> 1)
                .orElse(admissionController.limit());
        return new LoadBalancer.Report(
                admissionController.inFlight() + admissionController.queued(), limit, slowdownTracker.factor());
    }

    /** Returns the number of requests that are running or queued. */
    public int busy() {
        return admissionController.inFlight() + admissionController.queued();
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
        updateSlots(backend);
        if (!coldStartLimiter.allowsSend(backend, policy(request))) {
            return Future.succeededFuture(refuse(request, NotRunReason.COLD, coldStartLimiter.retryAfter()));
        }
        if (request.hasAlternative() && slowdownTracker.isSlow()) {
            return Future.succeededFuture(refuse(request, NotRunReason.SLOW, Duration.ZERO));
        }
        Rank rank = Rank.ofPriority(request.priority());
        request.key().ifPresent(key -> keyRequestListener.onKeyRequest(key, serviceTimeEstimator.expected(rank)));
        Promise<BackendOutcome> outcome = Promise.promise();
        PendingRequest pendingRequest = new PendingRequest(request, cancelled, outcome, time.monotonicNanos());
        reserveForShortRequests();
        AdmissionDecision decision = admissionController.offerWithMaxWait(rank, queueWait);
        if (decision instanceof AdmissionDecision.Admitted admitted) {
            send(pendingRequest, admitted.permit());
        } else if (decision instanceof AdmissionDecision.Queued queued) {
            queued.shed().forEach(this::shed);
            enqueue(queued.entry(), pendingRequest, queueWait);
        } else if (decision instanceof AdmissionDecision.Refused refused) {
            outcome.complete(
                    refuse(request, NotRunReason.OVERLOADED, refused.refusal().retryAfter()));
        }
        return outcome.future();
    }

    private void reserveForShortRequests() {
        Optional<Rank> shortRank =
                configuredSlots >= MIN_SLOTS_TO_RESERVE ? serviceTimeEstimator.shortRequestRank() : Optional.empty();
        admissionController.reserve(shortRank.orElse(Rank.INTERNAL), shortRank.isPresent() ? RESERVED_SLOTS : 0);
    }

    private void enqueue(QueueEntry queueEntry, PendingRequest pendingRequest, Duration queueWait) {
        queuedRequests.put(queueEntry.number(), pendingRequest);
        long timer = Vertx.currentContext()
                .owner()
                .setTimer(Math.max(1, queueWait.toMillis() + 1), fired -> apply(admissionController.processQueue()));
        pendingRequest
                .outcome()
                .future()
                .onComplete(done -> Vertx.currentContext().owner().cancelTimer(timer));
        pendingRequest.cancelled().onComplete(done -> {
            if (queuedRequests.remove(queueEntry.number()) != null) {
                pendingRequest.outcome().complete(new NotRun(NotRunReason.CANCELLED, false, Duration.ZERO));
                apply(admissionController.cancel(queueEntry));
            }
        });
    }

    private void updateSlots(LocalBackend backend) {
        int current = backend.heartbeat().slots();
        if (current != configuredSlots) {
            configuredSlots = current;
            apply(admissionController.onSettings(1, current, MAX_QUEUED_PER_SLOT * current));
        }
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
                request.id(), reason, busy(), admissionController.limit(), retryAfter.toMillis());
        return new NotRun(reason, false, retryAfter);
    }

    private void apply(AdmissionUpdate update) {
        update.shed().forEach(this::shed);
        update.admitted().forEach(admission -> {
            PendingRequest pendingRequest =
                    queuedRequests.remove(admission.entry().number());
            if (pendingRequest == null) {
                apply(admissionController.complete(admission.permit(), Outcome.CANCELLED, Duration.ZERO));
                return;
            }
            send(pendingRequest, admission.permit());
        });
    }

    private void shed(AdmissionUpdate.Shed shed) {
        PendingRequest pendingRequest = queuedRequests.remove(shed.entry().number());
        if (pendingRequest != null) {
            Refusal refusal = shed.refusal();
            pendingRequest
                    .outcome()
                    .complete(refuse(pendingRequest.request(), NotRunReason.OVERLOADED, refusal.retryAfter()));
        }
    }

    private void send(PendingRequest pendingRequest, Permit permit) {
        BackendRequestData request = pendingRequest.request();
        Optional<NotRunReason> refusedReason = refusalReason(request);
        if (refusedReason.isPresent()) {
            pendingRequest.outcome().complete(refuse(request, refusedReason.get(), DEFAULT_RETRY_AFTER));
            apply(admissionController.complete(permit, Outcome.CANCELLED, Duration.ZERO));
            return;
        }
        LocalBackend backend = localBackend.get().backend().orElseThrow();
        if (!coldStartLimiter.allowsSend(backend, policy(request))) {
            pendingRequest.outcome().complete(refuse(request, NotRunReason.COLD, coldStartLimiter.retryAfter()));
            apply(admissionController.complete(permit, Outcome.CANCELLED, Duration.ZERO));
            return;
        }
        long sentNanos = time.monotonicNanos();
        crashGuard.onSent(request);
        client.send(
                        backend.heartbeat().address(),
                        request,
                        pendingRequest.cancelled(),
                        new ExchangeObserver(request, backend))
                .onSuccess(outcome -> {
                    Duration latency = Duration.ofNanos(time.monotonicNanos() - sentNanos);
                    logRun(pendingRequest, outcome, sentNanos, latency);
                    serviceTimeEstimator.record(Rank.ofPriority(request.priority()), latency);
                    crashGuard.onOutcome(request, outcome);
                    detectConnectionFailure(outcome);
                    pendingRequest.outcome().complete(outcome);
                    apply(admissionController.complete(permit, admissionOutcome(outcome), latency));
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
                admissionController.inFlight(),
                admissionController.limit());
    }

    private void detectConnectionFailure(BackendOutcome outcome) {
        boolean unreachable = outcome instanceof NotRun notRun && notRun.reason() == NotRunReason.UNREACHABLE;
        boolean lost = outcome instanceof BackendOutcome.Unknown unknown
                && unknown.reason() == BackendOutcome.UnknownReason.CONNECTION_LOST;
        if (unreachable || lost) {
            coldStartLimiter.onConnectionFailure();
        }
    }

    private static Outcome admissionOutcome(BackendOutcome outcome) {
        if (outcome instanceof BackendOutcome.Answered) {
            return Outcome.OK;
        }
        if (outcome instanceof NotRun notRun) {
            return notRun.reason() == NotRunReason.REJECTED ? Outcome.SHED : Outcome.CANCELLED;
        }
        return Outcome.LOST;
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
