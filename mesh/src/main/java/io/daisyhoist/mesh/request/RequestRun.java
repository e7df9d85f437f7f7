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
import io.daisyhoist.core.routing.BackendLoads.Candidate;
import io.daisyhoist.mesh.connection.BackendAnswer;
import io.daisyhoist.mesh.connection.BackendAnswer.Answered;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRun;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRunReason;
import io.daisyhoist.mesh.connection.BackendAnswer.Unknown;
import io.daisyhoist.mesh.connection.BackendAnswer.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Finds a backend server for one request and tries again elsewhere while that is allowed.
 *
 * <p>Invariants: the client gets one answer, at its deadline at the latest; a request that is not idempotent is sent again
 * only after an answer that says that it did not run; a refusal says "not run" only if every send was refused as not run.
 * Confined to the traffic event loop.
 */
final class RequestRun {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Gates that may refuse one request before it is given up; a refusal costs a round trip only. */
    private static final int MAX_GATE_REFUSALS = 4;

    /** Share of the time until its deadline that a request may wait for a slot although its answer will be late. */
    private static final double LATE_QUEUE_SHARE = 0.2;

    /** A slot of a busy backend server usually becomes free within this time. */
    private static final Duration MIN_LATE_WAIT = Duration.ofMillis(150);

    /** Least time in which another send can be of use. */
    private static final Duration MIN_SEND_TIME = Duration.ofMillis(15);

    private static final Duration MOVE_CHECK_INTERVAL = Duration.ofMillis(25);

    /** Bounds the wait for a move to less than a second. */
    private static final int MAX_MOVE_WAITS = 24;

    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(200);
    private static final Duration MIN_RETRY_AFTER = Duration.ofMillis(30);

    /** Clients come back within a third of their remaining time or not at all. */
    private static final int RETRY_AFTER_SHARE = 3;

    private static final int SERVER_ERROR = 500;

    private final RequestContext context;
    private final ClientRequest request;
    private final ServiceName service;
    private final Promise<FinalAnswer> answer = Promise.promise();
    private final Set<DaemonId> tried = new HashSet<>();
    private final StringBuilder trace = new StringBuilder();
    private Optional<Answered> lastAnswer = Optional.empty();
    private Optional<Duration> retryAfter = Optional.empty();
    private Optional<DaemonId> slow = Optional.empty();
    private boolean slowRefused;
    private int sends;
    private int gateRefusals;
    private int moveWaits;
    private boolean outstanding;
    private boolean mayHaveRun;

    RequestRun(RequestContext context, ClientRequest request, ServiceName service) {
        this.context = context;
        this.request = request;
        this.service = service;
    }

    Future<FinalAnswer> start() {
        context.budget().onRequest(service);
        long remainingMillis = Math.max(1, remaining().toMillis());
        long timer = context.vertx().setTimer(remainingMillis, fired -> onDeadline());
        answer.future().onComplete(done -> {
            context.vertx().cancelTimer(timer);
            log();
        });
        next();
        return answer.future();
    }

    private Duration remaining() {
        return request.deadline().remaining(context.time());
    }

    private void onDeadline() {
        if (outstanding || mayHaveRun) {
            finish(lastAnswer.map(this::deliver).orElseGet(() -> FinalAnswer.status(FinalAnswer.TIMED_OUT)));
        } else {
            finish(refused());
        }
    }

    private void next() {
        FleetSnapshot fleet = context.fleet().get();
        Optional<FleetMember> member = choose(fleet).or(() -> slowMember(fleet));
        if (member.isEmpty()) {
            trace.append(" none");
            finish(giveUp());
            return;
        }
        send(member.get());
    }

    private Optional<FleetMember> choose(FleetSnapshot fleet) {
        if (gateRefusals >= MAX_GATE_REFUSALS) {
            return Optional.empty();
        }
        if (key(fleet).isPresent()) {
            return owner(fleet);
        }
        List<Candidate> candidates = fleet.candidates(service);
        return context.loads()
                .choose(candidates, tried)
                .map(candidate -> fleet.members().get(candidate.daemon()));
    }

    /** A backend server that was passed over as slow is better than none. */
    private Optional<FleetMember> slowMember(FleetSnapshot fleet) {
        Optional<FleetMember> member =
                slow.flatMap(daemon -> Optional.ofNullable(fleet.members().get(daemon))
                        .filter(known -> known.acceptingBackend().isPresent()));
        slow = Optional.empty();
        return member;
    }

    /** Clients state a key with every request; only services with keys go by it. */
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
                .filter(assignment -> !tried.contains(assignment.daemon()))
                .flatMap(assignment -> owner(fleet, assignment));
    }

    private static Optional<FleetMember> owner(FleetSnapshot fleet, RangeAssignment assignment) {
        return Optional.ofNullable(fleet.members().get(assignment.daemon()))
                .filter(member -> !fleet.isEvacuated(member.availabilityZone()))
                .filter(member -> member.backend()
                        .filter(backend -> backend.life().equals(assignment.life()))
                        .isPresent());
    }

    private void send(FleetMember member) {
        tried.add(member.daemon());
        outstanding = true;
        long sentNanos = context.time().monotonicNanos();
        BackendRequestData data = new BackendRequestData(
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
                member.backend().orElseThrow().life(),
                hasAlternative());
        Duration queueWait = queueWait();
        context.forwarder().send(member, data, queueWait, request.cancelled()).onComplete(done -> {
            outstanding = false;
            BackendAnswer result = done.succeeded() ? done.result() : new Unknown(UnknownReason.CONNECTION_LOST);
            Duration latency = Duration.ofNanos(context.time().monotonicNanos() - sentNanos);
            trace.append(' ').append(member.daemon()).append(':').append(AnswerText.of(result));
            onResult(member.daemon(), result, latency);
        });
    }

    /**
     * Lets a request wait while it can still be answered within the target; beyond that only for a small part of the time
     * until its deadline, because a long queue makes all answers late and does not serve more of them.
     */
    private Duration queueWait() {
        Duration usual = context.loads().meanLatency(request.route().name());
        Duration elapsed = Duration.ofNanos(context.time().monotonicNanos() - request.arrivedNanos());
        Duration untilTarget = request.route().target().minus(elapsed).minus(usual);
        Duration untilDeadline = remaining().minus(usual);
        Duration late = Duration.ofNanos((long) (untilDeadline.toNanos() * LATE_QUEUE_SHARE));
        Duration nextSlot = shorter(MIN_LATE_WAIT, untilDeadline);
        Duration wait = longer(longer(untilTarget, late), isUrgent() ? nextSlot : Duration.ZERO);
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

    /** A request is passed on as slow once; the search for a better backend server takes time as well. */
    private boolean hasAlternative() {
        FleetSnapshot fleet = context.fleet().get();
        return !slowRefused && key(fleet).isEmpty() && context.loads().hasRoom(fleet.candidates(service), tried);
    }

    private void onResult(DaemonId daemon, BackendAnswer result, Duration latency) {
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
            context.loads().onAnswer(daemon, request.route().name(), latency);
            finish(deliver(answered));
            return;
        }
        context.loads().onFailure(daemon);
        lastAnswer = Optional.of(answered);
        sends++;
        retryOrFinish();
    }

    private void onNotRun(DaemonId daemon, NotRun notRun) {
        if (!notRun.retryAfter().isZero()) {
            retryAfter = retryAfter
                    .filter(known -> known.compareTo(notRun.retryAfter()) <= 0)
                    .or(() -> Optional.of(notRun.retryAfter()));
        }
        if (notRun.arrived()) {
            context.loads().onFailure(daemon);
            sends++;
            retryOrFinish();
            return;
        }
        if (notRun.reason() == NotRunReason.KEY_MOVING && waitForMove(daemon)) {
            return;
        }
        if (notRun.reason() == NotRunReason.SLOW) {
            slowRefused = true;
            slow = Optional.of(daemon);
        }
        gateRefusals++;
        if (remaining().compareTo(MIN_SEND_TIME) < 0) {
            finish(giveUp());
            return;
        }
        next();
    }

    /** A move takes a fraction of a second, which most requests can wait. */
    private boolean waitForMove(DaemonId daemon) {
        Duration left = remaining().minus(MOVE_CHECK_INTERVAL);
        Duration usual = context.loads().meanLatency(request.route().name());
        if (moveWaits >= MAX_MOVE_WAITS || left.compareTo(usual) < 0) {
            return false;
        }
        moveWaits++;
        tried.remove(daemon);
        context.vertx().setTimer(MOVE_CHECK_INTERVAL.toMillis(), fired -> {
            if (!answer.future().isComplete()) {
                next();
            }
        });
        return true;
    }

    private void onUnknown(DaemonId daemon, UnknownReason reason) {
        mayHaveRun = true;
        sends++;
        if (reason != UnknownReason.CANCELLED) {
            context.loads().onFailure(daemon);
        }
        if (!request.route().isIdempotent()) {
            finish(giveUp());
            return;
        }
        retryOrFinish();
    }

    private void retryOrFinish() {
        boolean repeatable = request.route().isIdempotent() || !mayHaveRun;
        boolean allowed = repeatable
                && !answer.future().isComplete()
                && sends < request.route().maxAttempts()
                && remaining().compareTo(MIN_SEND_TIME) > 0
                && !request.cancelled().isComplete()
                && choose(context.fleet().get()).isPresent()
                && context.budget()
                        .tryRetry(service, context.fleet().get().members().size(), mayHaveRun);
        if (allowed) {
            context.metrics().onRetry(service);
            next();
        } else {
            finish(giveUp());
        }
    }

    private FinalAnswer giveUp() {
        if (lastAnswer.isPresent()) {
            return deliver(lastAnswer.get());
        }
        return mayHaveRun ? FinalAnswer.status(FinalAnswer.OUTCOME_UNKNOWN) : refused();
    }

    private FinalAnswer refused() {
        Duration wanted = retryAfter.orElse(DEFAULT_RETRY_AFTER);
        Duration most = remaining().dividedBy(RETRY_AFTER_SHARE);
        Duration bounded = wanted.compareTo(most) > 0 ? most : wanted;
        return FinalAnswer.notRun(bounded.compareTo(MIN_RETRY_AFTER) < 0 ? MIN_RETRY_AFTER : bounded);
    }

    private FinalAnswer deliver(Answered answered) {
        return new FinalAnswer(answered.status(), answered.headers(), answered.body(), Optional.empty());
    }

    private void finish(FinalAnswer result) {
        answer.tryComplete(result);
    }

    private void log() {
        FinalAnswer result = answer.future().result();
        Duration elapsed = Duration.ofNanos(context.time().monotonicNanos() - request.arrivedNanos());
        context.metrics().onAnswer(request.route().name(), service, result.status(), elapsed);
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
                trace);
    }
}
