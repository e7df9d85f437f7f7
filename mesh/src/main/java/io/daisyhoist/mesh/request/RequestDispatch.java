package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
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
 * that states that it did not run; a request is not sent again once a part of its body is no longer held; a response states "not run" only if every attempt was refused as not run; nothing is sent
 * after the client has disconnected. Confined to the traffic event loop.
 */
final class RequestDispatch {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Refusals by admission control after which no other backend server is selected; each refusal costs only a round trip. */
    private static final int MAX_ADMISSION_REFUSALS = 4;

    /** Rejections by backend servers after which the request may still be sent to another one. */
    private static final int MAX_REJECTIONS = 1;

    /** Minimum remaining time for another attempt. */
    private static final Duration MIN_ATTEMPT_TIME = Duration.ofMillis(15);

    private static final Duration MOVE_CHECK_INTERVAL = Duration.ofMillis(25);

    /** Limits the wait for a key move to less than 1 s. */
    private static final int MAX_MOVE_WAITS = 24;

    private static final int SERVER_ERROR = 500;

    private final RequestContext context;
    private final ClientRequest request;
    private final ServiceName service;
    private final BackendChoice choice;
    private final IngressAdmission ingress;
    private final Promise<ClientResponse> response = Promise.promise();
    private final Set<DaemonId> triedDaemons = new HashSet<>();
    private final StringBuilder hops = new StringBuilder();
    private Optional<Answered> lastErrorResponse = Optional.empty();
    private Optional<Duration> retryAfter = Optional.empty();
    private Optional<DaemonId> slowDaemon = Optional.empty();
    private boolean refusedAsSlow;
    private int attempts;
    private int admissionRefusals;
    private int rejections;
    private int moveWaits;
    private boolean attemptInProgress;
    private boolean mayHaveRun;

    RequestDispatch(RequestContext context, ClientRequest request, ServiceName service, IngressAdmission ingress) {
        this.context = context;
        this.request = request;
        this.service = service;
        this.choice = new BackendChoice(context.loadBalancer(), service);
        this.ingress = ingress;
    }

    Future<ClientResponse> start() {
        long remainingMillis = Math.max(1, remaining().toMillis());
        long timer = context.vertx().setTimer(remainingMillis, fired -> onDeadline());
        response.future().onComplete(done -> {
            context.vertx().cancelTimer(timer);
            logResponse();
        });
        if (!refuseEarly()) {
            context.budget().onRequest(service);
            tryNextBackend();
        }
        return response.future();
    }

    /** Refuses the request before anything is sent if its service is overloaded. */
    private boolean refuseEarly() {
        FleetSnapshot fleet = context.fleet().get();
        return refuseRejected(fleet) || refuseLate(fleet);
    }

    /** Refuses the request if the backend servers of its service reject most requests. */
    private boolean refuseRejected(FleetSnapshot fleet) {
        Optional<Duration> refused = key(fleet).isPresent()
                ? Optional.empty()
                : context.loadBalancer().refuseEarly(service, fleet.candidates(service));
        refused.ifPresent(delay -> {
            context.metrics().onEarlyRefusal(service);
            finishEarly("rejected", delay);
        });
        return refused.isPresent();
    }

    /** Refuses the request if no backend server can serve it in time. */
    private boolean refuseLate(FleetSnapshot fleet) {
        Optional<Duration> untilRoom = ingress.refusal(
                request, service, context.loadBalancer().leastUtilization(choice.possible(fleet, key(fleet))));
        untilRoom.ifPresent(delay -> {
            context.metrics().onOverload("early", request.route().priority());
            finishEarly("overloaded", delay);
        });
        return untilRoom.isPresent();
    }

    private void finishEarly(String reason, Duration delay) {
        hops.append(" early:").append(reason);
        retryAfter = Optional.of(delay);
        finish(notRunResponse());
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
        if (admissionRefusals >= MAX_ADMISSION_REFUSALS || rejections > MAX_REJECTIONS) {
            return Optional.empty();
        }
        return choice.select(fleet, key(fleet), triedDaemons, rejections > 0);
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
                IngressAdmission.target(request),
                ingress.expectedWork(request),
                request.nested());
        context.backendSender()
                .send(member, backendRequest, remaining(), request.cancelled())
                .onComplete(done -> {
                    attemptInProgress = false;
                    BackendOutcome result =
                            done.succeeded() ? done.result() : new Unknown(UnknownReason.CONNECTION_LOST);
                    Duration latency = Duration.ofNanos(context.time().monotonicNanos() - sentNanos);
                    hops.append(' ').append(member.daemon()).append(':').append(OutcomeLabel.of(result));
                    onResult(member.daemon(), result, latency);
                });
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
            onLatency(daemon, latency);
            finish(toResponse(answered));
            return;
        }
        context.loadBalancer().onFailure(daemon);
        lastErrorResponse = Optional.of(answered);
        attempts++;
        retryOrFinish();
    }

    /** The time of a streamed body says more about its client than about the backend server. */
    private void onLatency(DaemonId daemon, Duration latency) {
        if (!request.body().isStreamed()) {
            context.loadBalancer().onResponse(daemon, request.route().name(), latency);
            ingress.onResponse(request, service, latency);
        }
    }

    private void onNotRun(DaemonId daemon, NotRun notRun) {
        if (!notRun.retryAfter().isZero()) {
            retryAfter = retryAfter
                    .filter(known -> known.compareTo(notRun.retryAfter()) <= 0)
                    .or(() -> Optional.of(notRun.retryAfter()));
        }
        if (notRun.reachedBackend()) {
            context.loadBalancer().onRejection(daemon);
            rejections++;
            attempts++;
            retryOrFinish();
            return;
        }
        if (notRun.reason() == NotRunReason.KEY_MOVING && !request.body().isConsumed() && waitForMove(daemon)) {
            return;
        }
        if (notRun.reason() == NotRunReason.CRASH_SUSPECT) {
            retryAfter = Optional.of(remaining());
            finish(failureResponse());
            return;
        }
        if (notRun.reason() == NotRunReason.UNREACHABLE) {
            // It looks idle, because it refuses everything at once.
            context.loadBalancer().onFailure(daemon);
        }
        if (notRun.reason() == NotRunReason.SLOW) {
            refusedAsSlow = true;
            slowDaemon = Optional.of(daemon);
        }
        admissionRefusals++;
        if (request.body().isConsumed() || !hasTimeForAttempt()) {
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
                && !request.body().isConsumed()
                && !response.future().isComplete()
                && attempts < request.route().maxAttempts()
                && hasTimeForAttempt()
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

    /** Returns whether a request that is sent now can be expected to end before the deadline. */
    private boolean hasTimeForAttempt() {
        Duration run = choice.shortestRun(context.fleet().get(), request.route(), triedDaemons);
        return remaining().compareTo(MIN_ATTEMPT_TIME) > 0 && remaining().compareTo(run) > 0;
    }

    private ClientResponse failureResponse() {
        if (lastErrorResponse.isPresent()) {
            return toResponse(lastErrorResponse.get());
        }
        return mayHaveRun ? ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN) : notRunResponse();
    }

    private ClientResponse notRunResponse() {
        return ClientResponse.notRun(ingress.retryAfter(retryAfter, remaining()));
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
