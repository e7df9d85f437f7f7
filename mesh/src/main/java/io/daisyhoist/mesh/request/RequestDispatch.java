package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Executes one request: selects a backend server, and retries on others while that is allowed.
 *
 * <p>Invariants: the client gets one response, by its deadline; a non-idempotent request is retried only after an outcome
 * that states that it did not run; a response states "not run" only if every attempt was refused as not run; nothing is sent
 * after the client has disconnected. Confined to the traffic event loop.
 */
final class RequestDispatch {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Refusals by admission control after which no other backend server is selected; each refusal costs only a round trip. */
    private static final int MAX_ADMISSION_REFUSALS = 4;

    /** Share of the remaining time that a request may be queued although its response will miss the latency target. */
    private static final double LATE_QUEUE_SHARE = 0.2;

    /** Time in which a slot of a busy backend server usually becomes free. */
    private static final Duration SLOT_RELEASE_TIME = Duration.ofMillis(150);

    /** Minimum remaining time for another attempt. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(15);

    private static final Duration MOVE_CHECK_INTERVAL = Duration.ofMillis(25);

    /** Limits the wait for a key move to less than 1 s. */
    private static final int MAX_MOVE_WAITS = 24;

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(30);

    /** Clients retry within a third of their remaining time or not at all. */
    private static final int RETRY_AFTER_DIVISOR = 3;

    private static final int SERVER_ERROR = 500;

    private final RequestContext context;
    private final ClientRequest request;
    private final ServiceName service;
    private final Promise<ClientResponse> response = Promise.promise();
    private final Set<DaemonId> triedDaemons = new HashSet<>();
    private final StringBuilder hops = new StringBuilder();
    private Optional<Answered> lastErrorResponse = Optional.empty();
    private Optional<Duration> retryAfter = Optional.empty();
    private Optional<DaemonId> slowDaemon = Optional.empty();
    private boolean refusedAsSlow;
    private int attempts;
    private int admissionRefusals;
    private int moveWaits;
    private boolean attemptInProgress;
    private boolean mayHaveRun;

    RequestDispatch(RequestContext context, ClientRequest request, ServiceName service) {
        this.context = context;
        this.request = request;
        this.service = service;
    }

    Future<ClientResponse> start() {
        context.budget().onRequest(service);
        long remainingMillis = Math.max(1, remaining().toMillis());
        long timer = context.vertx().setTimer(remainingMillis, fired -> onDeadline());
        response.future().onComplete(done -> {
            context.vertx().cancelTimer(timer);
            logResponse();
        });
        tryNextBackend();
        return response.future();
    }

    private Duration remaining() {
        return request.deadline().remaining(context.time());
    }

    private void onDeadline() {
        if (attemptInProgress || mayHaveRun) {
            finish(lastErrorResponse
                    .map(this::toResponse)
                    .orElseGet(() -> ClientResponse.status(ClientResponse.TIMED_OUT)));
        } else {
            finish(notRunResponse());
        }
    }

    private void tryNextBackend() {
        if (request.cancelled().isComplete()) {
            finish(failureResponse());
            return;
        }
        FleetSnapshot fleet = context.fleet().get();
        Optional<FleetMember> member = selectMember(fleet).or(() -> slowMember(fleet));
        if (member.isEmpty()) {
            hops.append(" none");
            finish(failureResponse());
            return;
        }
        send(member.get());
    }

    private Optional<FleetMember> selectMember(FleetSnapshot fleet) {
        if (admissionRefusals >= MAX_ADMISSION_REFUSALS) {
            return Optional.empty();
        }
        if (key(fleet).isPresent()) {
            return owner(fleet);
        }
        List<Candidate> candidates = fleet.candidates(service);
        return context.loadBalancer()
                .select(candidates, triedDaemons)
                .map(candidate -> fleet.members().get(candidate.daemon()));
    }

    /** Falls back to the backend server that refused the request as slow, which is better than no backend server. */
    private Optional<FleetMember> slowMember(FleetSnapshot fleet) {
        Optional<FleetMember> member =
                slowDaemon.flatMap(daemon -> Optional.ofNullable(fleet.members().get(daemon))
                        .filter(known -> known.acceptingBackend().isPresent()));
        slowDaemon = Optional.empty();
        return member;
    }

    /** Clients send a key with every request; it is used only for keyed services. */
    private OptionalInt key(FleetSnapshot fleet) {
        boolean keyed = fleet.config()
                .flatMap(config -> config.service(service))
                .filter(ServicePolicy::keyed)
                .isPresent();
        return keyed ? request.key() : OptionalInt.empty();
    }

    private Optional<FleetMember> owner(FleetSnapshot fleet) {
        return fleet.table(service)
                .flatMap(table -> table.find(request.key().getAsInt()))
                .filter(assignment -> !triedDaemons.contains(assignment.daemon()))
                .flatMap(assignment -> owner(fleet, assignment));
    }

    private static Optional<FleetMember> owner(FleetSnapshot fleet, RangeAssignment assignment) {
        return Optional.ofNullable(fleet.members().get(assignment.daemon()))
                .filter(member -> !fleet.isEvacuated(member.availabilityZone()))
                .filter(member -> member.backend()
                        .filter(backend -> backend.process().equals(assignment.process()))
                        .isPresent());
    }

    private void send(FleetMember member) {
        triedDaemons.add(member.daemon());
        attemptInProgress = true;
        long sentNanos = context.time().monotonicNanos();
        BackendRequestData backendRequest = new BackendRequestData(
                request.id(),
                service,
                key(context.fleet().get()),
                request.method(),
                request.uri(),
                request.headers(),
                request.body(),
                request.route().priority(),
                request.deadline(),
                context.callerService().name(),
                member.backend().orElseThrow().process(),
                hasAlternative(),
                request.customer(),
                request.deadline(),
                Duration.ZERO);
        Duration queueWait = queueWait();
        context.backendSender()
                .send(member, backendRequest, queueWait, request.cancelled())
                .onComplete(done -> {
                    attemptInProgress = false;
                    BackendOutcome result =
                            done.succeeded() ? done.result() : new Unknown(UnknownReason.CONNECTION_LOST);
                    Duration latency = Duration.ofNanos(context.time().monotonicNanos() - sentNanos);
                    hops.append(' ').append(member.daemon()).append(':').append(OutcomeLabel.of(result));
                    onResult(member.daemon(), result, latency);
                });
    }

    /**
     * Returns the maximum time in the queue: until the latency target can no longer be met, or a small share of the remaining
     * time if that is longer; for urgent requests at least until a slot usually becomes free. A longer queue would delay all
     * responses without increasing throughput.
     */
    private Duration queueWait() {
        Duration expectedLatency =
                context.loadBalancer().meanLatency(request.route().name());
        Duration elapsed = Duration.ofNanos(context.time().monotonicNanos() - request.arrivedNanos());
        Duration untilTarget = request.route().targetLatency().minus(elapsed).minus(expectedLatency);
        Duration untilDeadline = remaining().minus(expectedLatency);
        Duration lateWait = Duration.ofNanos((long) (untilDeadline.toNanos() * LATE_QUEUE_SHARE));
        Duration nextSlot = shorter(SLOT_RELEASE_TIME, untilDeadline);
        Duration wait = longer(longer(untilTarget, lateWait), isUrgent() ? nextSlot : Duration.ZERO);
        return wait.isNegative() ? Duration.ZERO : wait;
    }

    private boolean isUrgent() {
        return Rank.ofPriority(request.route().priority()).isAbove(Rank.BROWSE);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) > 0 ? one : other;
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** Returns whether a slow backend server may refuse the request; allowed once, because each refusal costs time. */
    private boolean hasAlternative() {
        FleetSnapshot fleet = context.fleet().get();
        return !refusedAsSlow
                && key(fleet).isEmpty()
                && context.loadBalancer().hasFreeSlot(fleet.candidates(service), triedDaemons);
    }

    private void onResult(DaemonId daemon, BackendOutcome result, Duration latency) {
        if (result instanceof Answered answered) {
            onAnswered(daemon, answered, latency);
        } else if (result instanceof NotRun notRun) {
            onNotRun(daemon, notRun);
        } else {
            onUnknown(daemon, ((Unknown) result).reason());
        }
    }

    private void onAnswered(DaemonId daemon, Answered answered, Duration latency) {
        mayHaveRun = true;
        if (answered.status() < SERVER_ERROR) {
            context.loadBalancer().onResponse(daemon, request.route().name(), latency);
            finish(toResponse(answered));
            return;
        }
        context.loadBalancer().onFailure(daemon);
        lastErrorResponse = Optional.of(answered);
        attempts++;
        retryOrFinish();
    }

    private void onNotRun(DaemonId daemon, NotRun notRun) {
        if (!notRun.retryAfter().isZero()) {
            retryAfter = retryAfter
                    .filter(known -> known.compareTo(notRun.retryAfter()) <= 0)
                    .or(() -> Optional.of(notRun.retryAfter()));
        }
        if (notRun.reachedBackend()) {
            context.loadBalancer().onFailure(daemon);
            attempts++;
            retryOrFinish();
            return;
        }
        if (notRun.reason() == NotRunReason.KEY_MOVING && waitForMove(daemon)) {
            return;
        }
        if (notRun.reason() == NotRunReason.CRASH_SUSPECT) {
            retryAfter = Optional.of(remaining());
            finish(failureResponse());
            return;
        }
        if (notRun.reason() == NotRunReason.SLOW) {
            refusedAsSlow = true;
            slowDaemon = Optional.of(daemon);
        }
        admissionRefusals++;
        if (remaining().compareTo(MIN_ATTEMPT_TIME) < 0) {
            finish(failureResponse());
            return;
        }
        tryNextBackend();
    }

    /** Waits for a key move, which takes a fraction of a second, if the remaining time allows. */
    private boolean waitForMove(DaemonId daemon) {
        Duration remainingAfterWait = remaining().minus(MOVE_CHECK_INTERVAL);
        Duration expectedLatency =
                context.loadBalancer().meanLatency(request.route().name());
        if (moveWaits >= MAX_MOVE_WAITS || remainingAfterWait.compareTo(expectedLatency) < 0) {
            return false;
        }
        moveWaits++;
        triedDaemons.remove(daemon);
        context.vertx().setTimer(MOVE_CHECK_INTERVAL.toMillis(), fired -> {
            if (!response.future().isComplete()) {
                tryNextBackend();
            }
        });
        return true;
    }

    private void onUnknown(DaemonId daemon, UnknownReason reason) {
        mayHaveRun = true;
        attempts++;
        if (reason != UnknownReason.CANCELLED) {
            context.loadBalancer().onFailure(daemon);
        }
        if (!request.route().isIdempotent()) {
            finish(failureResponse());
            return;
        }
        retryOrFinish();
    }

    private void retryOrFinish() {
        boolean retryable = request.route().isIdempotent() || !mayHaveRun;
        boolean allowed = retryable
                && !response.future().isComplete()
                && attempts < request.route().maxAttempts()
                && remaining().compareTo(MIN_ATTEMPT_TIME) > 0
                && !request.cancelled().isComplete()
                && selectMember(context.fleet().get()).isPresent()
                && context.budget()
                        .tryRetry(service, context.fleet().get().members().size(), mayHaveRun);
        if (allowed) {
            context.metrics().onRetry(service);
            tryNextBackend();
        } else {
            finish(failureResponse());
        }
    }

    private ClientResponse failureResponse() {
        if (lastErrorResponse.isPresent()) {
            return toResponse(lastErrorResponse.get());
        }
        return mayHaveRun ? ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN) : notRunResponse();
    }

    private ClientResponse notRunResponse() {
        Duration suggested = retryAfter.orElse(DEFAULT_RETRY_AFTER);
        Duration max = remaining().dividedBy(RETRY_AFTER_DIVISOR);
        Duration bounded = suggested.compareTo(max) > 0 ? max : suggested;
        return ClientResponse.notRun(bounded.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : bounded);
    }

    private ClientResponse toResponse(Answered answered) {
        return new ClientResponse(answered.status(), answered.headers(), answered.body(), Optional.empty());
    }

    private void finish(ClientResponse result) {
        response.tryComplete(result);
    }

    private void logResponse() {
        ClientResponse result = response.future().result();
        Duration elapsed = Duration.ofNanos(context.time().monotonicNanos() - request.arrivedNanos());
        context.metrics().onResponse(request.route().name(), service, result.status(), elapsed);
        LOGGER.atInfo().log(
                "event=request_done request=%s route=%s priority=%d service=%s config_version=%d key=%s status=%d"
                        + " retry_after_ms=%d elapsed_ms=%d deadline_ms=%d client_gone=%s hops=\"%s\"",
                request.id(),
                request.route().name(),
                request.route().priority(),
                service,
                request.configVersion(),
                request.key().isPresent() ? request.key().getAsInt() : "none",
                result.status(),
                result.retryAfter().map(Duration::toMillis).orElse(0L),
                elapsed.toMillis(),
                elapsed.plus(remaining()).toMillis(),
                request.cancelled().isComplete(),
                hops);
    }
}
