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
 * Owner side of the request pipeline: decides whether a request may run here, runs it and records its attempt.
 *
 * <p>Invariants: a request runs only under a valid lease, checked on admission and again immediately before the write;
 * a request for a partition runs only under the grant that admitted it; a non-repeatable request runs only if the
 * ledger shows that it has not run; a run that ends outside the lease is reported as unknown. Confined to the traffic
 * event loop.
 */
public final class OwnerService {
    private static final long HELD_RETRY_INTERVAL_MILLIS = 20;

    private final TrafficContext traffic;
    private final BackendRunner runner;
    private final OwnedPartitions partitions;
    private final LocalAdmission admission;
    private final HeldRequests heldRequests = new HeldRequests();
    private boolean timerActive;

    OwnerService(TrafficContext traffic, BackendRunner runner, OwnedPartitions partitions, LocalAdmission admission) {
        this.traffic = traffic;
        this.runner = runner;
        this.partitions = partitions;
        this.admission = admission;
    }

    /** Serves a repeatable request without a key. */
    Future<OutboundResponse> serveKeyless(InboundRequest request, Future<Void> cancelled) {
        Optional<Refusal> refusal = admission.keylessRefusal(traffic.group().get());
        if (refusal.isPresent()) {
            return Future.succeededFuture(OutboundResponse.refused(refusal.get()));
        }
        return runner.run(new BackendRun(
                request,
                Optional.empty(),
                BackendRun.fingerprintOf(request),
                () -> admission.keylessRefusal(traffic.group().get()).isEmpty(),
                cancelled,
                true));
    }

    /** Serves a request that requires ownership of a partition. */
    Future<OutboundResponse> serve(InboundRequest request, PartitionId partition, Future<Void> cancelled) {
        return withGrant(request, partition, cancelled, owned -> servePartition(owned, request, cancelled));
    }

    /** Issues an attempt token. */
    Future<OutboundResponse> issueToken(InboundRequest request, PartitionId partition) {
        return withGrant(
                request,
                partition,
                Promise.<Void>promise().future(),
                owned -> Future.succeededFuture(OutboundResponse.token(newToken(owned))));
    }

    /** Operation on a partition that this daemon owns under a valid lease. */
    private interface OwnedOperation {
        Future<OutboundResponse> run(OwnedPartition owned);
    }

    private Future<OutboundResponse> withGrant(
            InboundRequest request, PartitionId partition, Future<Void> cancelled, OwnedOperation operation) {
        GroupSnapshot group = traffic.group().get();
        Optional<Refusal> refusal = admission.keyedRefusal(group);
        if (refusal.isPresent()) {
            return Future.succeededFuture(OutboundResponse.refused(refusal.get()));
        }
        Optional<Grant> grant = group.servingGrant(partition, traffic.time());
        if (grant.isPresent()) {
            return operation.run(partitions.getOrCreate(grant.get(), group));
        }
        if (group.handingOver().contains(partition)) {
            return hold(request, partition, cancelled, operation);
        }
        return Future.succeededFuture(Refusals.notRun(RefusalCode.NOT_OWNER, "not the owner of " + partition));
    }

    private Future<OutboundResponse> hold(
            InboundRequest request, PartitionId partition, Future<Void> cancelled, OwnedOperation operation) {
        if (request.deadline().hasPassed(traffic.time()) || cancelled.isComplete()) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.DEADLINE_EXCEEDED, "deadline passed while the partition moved"));
        }
        Promise<OutboundResponse> response = Promise.promise();
        boolean accepted = heldRequests.offer(
                () -> withGrant(request, partition, cancelled, operation).onComplete(response));
        if (!accepted) {
            return Future.succeededFuture(
                    Refusals.notRun(RefusalCode.OVERLOADED, "too many requests wait for a partition that moves"));
        }
        startRetryTimer();
        return response.future();
    }

    private void startRetryTimer() {
        if (!timerActive && !heldRequests.isEmpty()) {
            timerActive = true;
            traffic.schedule(HELD_RETRY_INTERVAL_MILLIS, () -> {
                timerActive = false;
                heldRequests.retryAll();
                startRetryTimer();
            });
        }
    }

    private Future<OutboundResponse> servePartition(
            OwnedPartition owned, InboundRequest request, Future<Void> cancelled) {
        boolean repeatable = traffic.routing()
                .get()
                .config()
                .service(request.service())
                .map(settings -> settings.isRepeatable(request.method()))
                .orElse(false);
        if (repeatable) {
            return runOnBackend(owned, request, cancelled, Optional.empty());
        }
        if (request.attemptToken().isEmpty()) {
            return Future.succeededFuture(OutboundResponse.refused(
                    Refusal.of(
                            RefusalCode.ATTEMPT_TOKEN_REQUIRED,
                            "send the request again with this token",
                            Duration.ZERO),
                    Optional.of(newToken(owned))));
        }
        return runAttempt(owned, request, request.attemptToken().get(), cancelled);
    }

    private String newToken(OwnedPartition owned) {
        return owned.ledger().issue(traffic.random()).format();
    }

    private Future<OutboundResponse> runAttempt(
            OwnedPartition owned, InboundRequest request, AttemptToken token, Future<Void> cancelled) {
        AttemptDecision decision = owned.ledger().begin(token);
        if (decision instanceof AttemptDecision.Run) {
            owned.attemptStarted(token);
            return runOnBackend(owned, request, cancelled, Optional.of(token));
        }
        if (decision instanceof AttemptDecision.Join) {
            return joinRunningAttempt(owned, request, token);
        }
        if (decision instanceof AttemptDecision.Replay replay) {
            return Future.succeededFuture(replayResponse(replay.response()));
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

    private void recordOutcome(OwnedPartition owned, AttemptToken token, OutboundResponse response) {
        switch (response.run()) {
            case RAN -> owned.ledger().recordResponse(token, toRecordedResponse(response));
            case NOT_RUN -> owned.ledger().removeNotRun(token);
            default -> owned.ledger().recordUnknownOutcome(token);
        }
        owned.attemptEnded(token, response);
    }

    /** Waits for the run that an earlier send of the same attempt started. */
    private Future<OutboundResponse> joinRunningAttempt(
            OwnedPartition owned, InboundRequest request, AttemptToken token) {
        Promise<OutboundResponse> response = Promise.promise();
        long timer = traffic.schedule(
                request.deadline().remaining(traffic.time()).toMillis(),
                () -> response.tryComplete(Refusals.unknown(
                        RefusalCode.DEADLINE_EXCEEDED, "an earlier send of this attempt is still running")));
        owned.runningResponse(token)
                .orElseGet(() -> Future.succeededFuture(
                        Refusals.unknown(RefusalCode.ATTEMPT_OUTCOME_UNKNOWN, "the run has no known end")))
                .onSuccess(response::tryComplete);
        return response.future().onComplete(done -> traffic.cancelTimer(timer));
    }

    private Future<OutboundResponse> runOnBackend(
            OwnedPartition owned, InboundRequest request, Future<Void> cancelled, Optional<AttemptToken> attempt) {
        Grant grant = owned.grant();
        BooleanSupplier grantValid =
                () -> admission.isGrantValid(grant, traffic.group().get());
        owned.requestStarted();
        return runner.run(new BackendRun(
                        request,
                        Optional.of(grant.partition() + ":" + grant.epoch()),
                        BackendRun.fingerprintOf(request),
                        grantValid,
                        cancelled,
                        attempt.isEmpty()))
                .map(response -> response.run() == RunState.RAN && !grantValid.getAsBoolean()
                        ? lateRunRefusal(request)
                        : response)
                .otherwise(failure -> Refusals.unknown(RefusalCode.BACKEND_LOST, "internal error: " + failure))
                .onSuccess(response -> {
                    // The outcome must be recorded before the partition becomes idle, otherwise a hand-over would miss
                    // it.
                    attempt.ifPresent(token -> recordOutcome(owned, token, response));
                    owned.requestEnded();
                });
    }

    private OutboundResponse lateRunRefusal(InboundRequest request) {
        traffic.metrics().onLateRun(request.service());
        return Refusals.unknown(RefusalCode.BACKEND_LOST, "the run ended outside the owner's lease");
    }

    private static RecordedResponse toRecordedResponse(OutboundResponse response) {
        List<RecordedResponse.Field> fields = response.headers().stream()
                .map(field -> new RecordedResponse.Field(field.name(), field.value()))
                .toList();
        return new RecordedResponse(response.status(), fields, response.body().getBytes());
    }

    private static OutboundResponse replayResponse(RecordedResponse recorded) {
        List<HttpField> fields = recorded.headers().stream()
                .map(field -> new HttpField(field.name(), field.value()))
                .toList();
        return OutboundResponse.ran(recorded.status(), fields, Buffer.buffer(recorded.body()));
    }
}
