package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.atmostonce.AttemptDecision;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.atmostonce.RecordedResponse;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupSnapshot;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Owner's side of the request path: decides whether a request may run here, runs it and records its attempt.
 *
 * <p>Invariants: a request runs only under a valid lease, checked on admission and again immediately before the write; a
 * request for a partition runs only under the grant that admitted it; a non-repeatable request runs only if the ledger
 * says that it never ran; a run that ends outside its lease is reported as unknown. Confined to the traffic event loop.
 */
public final class OwnerService {
    private static final long HELD_TICK_MILLIS = 20;

    private final TrafficContext traffic;
    private final BackendRunner runner;
    private final OwnedPartitions partitions;
    private final LocalAdmission admission;
    private final HeldRequests held = new HeldRequests();
    private boolean timerSet;

    OwnerService(TrafficContext traffic, BackendRunner runner, OwnedPartitions partitions, LocalAdmission admission) {
        this.traffic = traffic;
        this.runner = runner;
        this.partitions = partitions;
        this.admission = admission;
    }

    /** Serves a repeatable request without a key. */
    Future<OutboundResponse> serveKeyless(InboundRequest request, Future<Void> cancelled) {
        Optional<Refusal> refusal = admission.refuseKeyless(traffic.group().get());
        if (refusal.isPresent()) {
            return Future.succeededFuture(OutboundResponse.refused(refusal.get()));
        }
        return runner.run(new BackendRun(
                request,
                Optional.empty(),
                BackendRun.fingerprintOf(request),
                () -> admission.refuseKeyless(traffic.group().get()).isEmpty(),
                cancelled,
                true));
    }

    /** Serves a request that needs the ownership of a partition. */
    Future<OutboundResponse> serve(InboundRequest request, PartitionId partition, Future<Void> cancelled) {
        return withGrant(request, partition, cancelled, owned -> serveOwned(owned, request, cancelled));
    }

    /** Issues a token for an attempt. */
    Future<OutboundResponse> issueToken(InboundRequest request, PartitionId partition) {
        return withGrant(
                request,
                partition,
                Promise.<Void>promise().future(),
                owned -> Future.succeededFuture(OutboundResponse.token(freshToken(owned))));
    }

    /** Step of a request that is allowed here. */
    private interface Step {
        Future<OutboundResponse> run(OwnedPartition owned);
    }

    private Future<OutboundResponse> withGrant(
            InboundRequest request, PartitionId partition, Future<Void> cancelled, Step step) {
        GroupSnapshot group = traffic.group().get();
        Optional<Refusal> refusal = admission.refuseKeyed(group);
        if (refusal.isPresent()) {
            return Future.succeededFuture(OutboundResponse.refused(refusal.get()));
        }
        Optional<Grant> grant = group.serving(partition, traffic.time());
        if (grant.isPresent()) {
            return step.run(partitions.of(grant.get(), group));
        }
        if (group.handingOver().contains(partition)) {
            return hold(request, partition, cancelled, step);
        }
        return Future.succeededFuture(Refusals.notRun(RefusalCode.NOT_OWNER, "not the owner of " + partition));
    }

    private Future<OutboundResponse> hold(
            InboundRequest request, PartitionId partition, Future<Void> cancelled, Step step) {
        if (request.deadline().hasPassed(traffic.time()) || cancelled.isComplete()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.DEADLINE_EXCEEDED, "deadline passed while the partition moved"));
        }
        Promise<OutboundResponse> answer = Promise.promise();
        boolean accepted =
                held.offer(() -> withGrant(request, partition, cancelled, step).onComplete(answer));
        if (!accepted) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.OVERLOADED, "too many requests wait for a partition that moves"));
        }
        startTimer();
        return answer.future();
    }

    private void startTimer() {
        if (!timerSet && !held.isEmpty()) {
            timerSet = true;
            traffic.after(HELD_TICK_MILLIS, () -> {
                timerSet = false;
                held.resumeAll();
                startTimer();
            });
        }
    }

    private Future<OutboundResponse> serveOwned(OwnedPartition owned, InboundRequest request, Future<Void> cancelled) {
        boolean repeatable = traffic.routing()
                .get()
                .config()
                .service(request.service())
                .map(settings -> settings.isRepeatable(request.method()))
                .orElse(false);
        if (repeatable) {
            return runOwned(owned, request, cancelled, Optional.empty());
        }
        if (request.attemptToken().isEmpty()) {
            return Future.succeededFuture(OutboundResponse.refused(
                    Refusal.of(
                            RefusalCode.ATTEMPT_TOKEN_REQUIRED,
                            "send the request again with this token",
                            Duration.ZERO),
                    Optional.of(freshToken(owned))));
        }
        return attempt(owned, request, request.attemptToken().get(), cancelled);
    }

    private String freshToken(OwnedPartition owned) {
        return owned.ledger().issue(traffic.random()).format();
    }

    private Future<OutboundResponse> attempt(
            OwnedPartition owned, InboundRequest request, AttemptToken token, Future<Void> cancelled) {
        AttemptDecision decision = owned.ledger().begin(token);
        if (decision instanceof AttemptDecision.Run) {
            owned.startRun(token);
            return runOwned(owned, request, cancelled, Optional.of(token));
        }
        if (decision instanceof AttemptDecision.Join) {
            return join(owned, request, token);
        }
        if (decision instanceof AttemptDecision.Replay replay) {
            return Future.succeededFuture(replay(replay.response()));
        }
        if (decision instanceof AttemptDecision.AlreadyRun) {
            return Future.succeededFuture(Refusals.refused(
                    RefusalCode.ALREADY_RUN, RunState.RAN, "ran before; its response was too large to keep"));
        }
        if (decision instanceof AttemptDecision.OutcomeUnknown unknown) {
            return Future.succeededFuture(Refusals.unknown(
                    RefusalCode.ATTEMPT_OUTCOME_UNKNOWN,
                    "it is not known whether this attempt ran: " + unknown.reason()));
        }
        return Future.succeededFuture(
                Refusals.notRun(RefusalCode.NOT_OWNER, "the partition was handed over: " + token.partition()));
    }

    private void settle(OwnedPartition owned, AttemptToken token, OutboundResponse answer) {
        switch (answer.run()) {
            case RAN -> owned.ledger().finished(token, record(answer));
            case NOT_RUN -> owned.ledger().notRun(token);
            default -> owned.ledger().unknown(token);
        }
        owned.endRun(token, answer);
    }

    /** Waits for the run that another send of the same attempt has started. */
    private Future<OutboundResponse> join(OwnedPartition owned, InboundRequest request, AttemptToken token) {
        Promise<OutboundResponse> answer = Promise.promise();
        long timer = traffic.after(
                request.deadline().remaining(traffic.time()).toMillis(),
                () -> answer.tryComplete(Refusals.unknown(
                        RefusalCode.DEADLINE_EXCEEDED, "an earlier send of this attempt is still running")));
        owned.runningAnswer(token)
                .orElseGet(() -> Future.succeededFuture(
                        Refusals.unknown(RefusalCode.ATTEMPT_OUTCOME_UNKNOWN, "the run has no known end")))
                .onSuccess(answer::tryComplete);
        return answer.future().onComplete(done -> traffic.cancelTimer(timer));
    }

    private Future<OutboundResponse> runOwned(
            OwnedPartition owned, InboundRequest request, Future<Void> cancelled, Optional<AttemptToken> attempt) {
        Grant grant = owned.grant();
        BooleanSupplier holds = () -> admission.holds(grant, traffic.group().get());
        owned.begin();
        return runner.run(new BackendRun(
                        request,
                        Optional.of(grant.partition() + ":" + grant.epoch()),
                        BackendRun.fingerprintOf(request),
                        holds,
                        cancelled,
                        attempt.isEmpty()))
                .map(answer -> answer.run() == RunState.RAN && !holds.getAsBoolean() ? lateRun(request) : answer)
                .otherwise(failure -> Refusals.unknown(RefusalCode.BACKEND_LOST, "internal error: " + failure))
                .onSuccess(answer -> {
                    // The record must be settled before the partition counts as idle, or a hand-over would miss it.
                    attempt.ifPresent(token -> settle(owned, token, answer));
                    owned.end();
                });
    }

    private OutboundResponse lateRun(InboundRequest request) {
        traffic.metrics().onLateRun(request.service());
        return Refusals.unknown(RefusalCode.BACKEND_LOST, "the run ended outside the owner's lease");
    }

    private static RecordedResponse record(OutboundResponse answer) {
        List<RecordedResponse.Field> fields = answer.headers().stream()
                .map(field -> new RecordedResponse.Field(field.name(), field.value()))
                .toList();
        return new RecordedResponse(answer.status(), fields, answer.body().getBytes());
    }

    private static OutboundResponse replay(RecordedResponse recorded) {
        List<HttpField> fields = recorded.headers().stream()
                .map(field -> new HttpField(field.name(), field.value()))
                .toList();
        return OutboundResponse.ran(recorded.status(), fields, Buffer.buffer(recorded.body()));
    }
}
