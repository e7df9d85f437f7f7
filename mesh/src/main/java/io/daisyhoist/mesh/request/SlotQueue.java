package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import io.daisyhoist.core.admission.CostAdmission;
import io.daisyhoist.core.admission.CostDecision;
import io.daisyhoist.core.admission.CostRequest;
import io.daisyhoist.core.admission.RequestCost;
import io.daisyhoist.core.admission.ValuePerWorkOrder;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;

/**
 * Requests that hold a slot of the local backend server or wait for one.
 *
 * <p>Invariants: each request that is offered is either started once, or refused or cancelled without having been started.
 * Confined to the traffic event loop.
 */
final class SlotQueue {
    private static final int MAX_QUEUED_PER_SLOT = 4;

    private final TimeSource time;
    private final CostAdmission admission;
    private final BiConsumer<PendingRequest, CostRequest> onStart;
    private final BiConsumer<PendingRequest, CostDecision.Refused> onRefusal;
    private final Map<CostRequest, PendingRequest> waiting = new HashMap<>();

    /** Request whose caller waits for its outcome. */
    record PendingRequest(
            BackendRequestData request, Future<Void> cancelled, Promise<BackendOutcome> outcome, long arrivedNanos) {}

    /**
     * Creates a queue for a backend server with one slot.
     *
     * @param onStart called with a request that has got a slot, which is to be returned by {@link #release}
     * @param onRefusal called with a request that gets no slot
     */
    SlotQueue(
            TimeSource time,
            BiConsumer<PendingRequest, CostRequest> onStart,
            BiConsumer<PendingRequest, CostDecision.Refused> onRefusal) {
        this.time = time;
        this.admission = new CostAdmission(time, new ValuePerWorkOrder(), 1, MAX_QUEUED_PER_SLOT);
        this.onStart = onStart;
        this.onRefusal = onRefusal;
    }

    int slots() {
        return admission.slots();
    }

    int inFlight() {
        return admission.inFlight();
    }

    /** Returns the number of requests that hold a slot or wait for one. */
    int busy() {
        return admission.inFlight() + admission.queued();
    }

    void setSlots(int slots) {
        if (slots != admission.slots()) {
            admission.setLimits(slots, MAX_QUEUED_PER_SLOT * slots);
            advance();
        }
    }

    /** Starts a request, lets it wait at most {@code maxWait}, or refuses it. */
    void offer(PendingRequest pending, RequestCost cost, Duration maxWait) {
        CostDecision decision = admission.offer(cost, maxWait);
        if (decision instanceof CostDecision.Started started) {
            onStart.accept(pending, started.request());
        } else if (decision instanceof CostDecision.Refused refused) {
            onRefusal.accept(pending, refused);
        } else if (decision instanceof CostDecision.Waiting added) {
            waiting.put(added.request(), pending);
            added.displaced().ifPresent(this::refuse);
            watch(added.request(), pending);
            advance();
        }
    }

    private void watch(CostRequest request, PendingRequest pending) {
        Duration untilLatestStart = Duration.ofNanos(request.latestStartNanos() - time.monotonicNanos());
        Vertx vertx = Vertx.currentContext().owner();
        long timer = vertx.setTimer(Math.max(1, untilLatestStart.toMillis() + 1), fired -> advance());
        pending.outcome().future().onComplete(done -> vertx.cancelTimer(timer));
        pending.cancelled().onComplete(done -> {
            if (waiting.remove(request) != null) {
                pending.outcome().complete(new NotRun(NotRunReason.CANCELLED, false, Duration.ZERO));
                admission.cancel(request);
                advance();
            }
        });
    }

    /** Returns the slot of a request that has ended. */
    void release(CostRequest request) {
        admission.complete(request);
        advance();
    }

    private void advance() {
        for (Optional<CostDecision.Refused> next = admission.refuseNext();
                next.isPresent();
                next = admission.refuseNext()) {
            refuse(next.get());
        }
        for (Optional<CostRequest> next = admission.startNext(); next.isPresent(); next = admission.startNext()) {
            onStart.accept(waiting.remove(next.get()), next.get());
        }
    }

    private void refuse(CostDecision.Refused refused) {
        onRefusal.accept(waiting.remove(refused.request()), refused);
    }
}
