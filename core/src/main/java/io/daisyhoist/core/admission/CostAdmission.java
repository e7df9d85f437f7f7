package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.admission.CostDecision.Reason;
import io.daisyhoist.core.admission.CostDecision.Refused;
import io.daisyhoist.core.time.TimeSource;

/**
 * Decides which request a backend server runs next, which waits and which is refused at once.
 *
 * <p>Invariants: a request starts only while fewer than {@code slots} are in flight; a request that finds a free slot and
 * nobody who is to be served before it starts, whatever its estimate says; no request starts while one that the order
 * serves first waits, unless too few requests of the former's kind have been served ({@link KindShares}).
 * At most {@code queueBound} requests wait. Each decision looks once at each waiting request and keeps no other state for
 * it. Confined to one thread.
 */
public final class CostAdmission {
    private static final int RESIDUAL_DIVISOR = 2;

    private final TimeSource time;

    private final AdmissionOrder order;
    private final KindShares shares;
    private final List<CostRequest> waiting = new ArrayList<>();
    private final Set<CostRequest> inFlight = new HashSet<>();
    private int slots;
    private int queueBound;
    private long inFlightWorkNanos;

    /** Creates an admission without requests. */
    public CostAdmission(TimeSource time, AdmissionOrder order, int slots, int queueBound) {
        this.time = time;
        this.order = order;
        this.shares = new KindShares(order.minShareOfKind(), time.monotonicNanos());
        this.slots = slots;
        this.queueBound = queueBound;
    }

    /** Changes the number of slots and the bound of the queue; requests that wait stay. */
    public void setLimits(int newSlots, int newQueueBound) {
        slots = newSlots;
        queueBound = newQueueBound;
    }

    /** Returns the number of slots. */
    public int slots() {
        return slots;
    }

    /** Returns the number of requests in flight. */
    public int inFlight() {
        return inFlight.size();
    }

    /** Returns the number of requests that wait. */
    public int queued() {
        return waiting.size();
    }

    /** Offers a request, which waits at most {@code maxWait}. */
    public CostDecision offer(RequestCost cost, Duration maxWait) {
        long now = time.monotonicNanos();
        shares.onOffered(cost.kind(), now);
        long usefulWaitNanos = Math.min(maxWait.toNanos(), cost.deadlineSlackNanos(now));
        CostRequest request = new CostRequest(cost, now + usefulWaitNanos);
        boolean anyAhead = false;
        long workAheadNanos = 0;
        for (CostRequest other : waiting) {
            if (!isBefore(cost, other.cost(), now)) {
                anyAhead = true;
                workAheadNanos += other.cost().work().plannedNanos();
            }
        }
        if (!anyAhead && hasFreeSlot()) {
            return new CostDecision.Started(start(request));
        }
        Duration wait = expectedWait(workAheadNanos);
        if (wait.toNanos() > usefulWaitNanos) {
            return new Refused(request, Reason.DEADLINE_UNREACHABLE, wait);
        }
        return enqueue(request, wait, now);
    }

    private CostDecision enqueue(CostRequest request, Duration wait, long now) {
        Optional<Refused> displaced = Optional.empty();
        if (waiting.size() >= queueBound) {
            int last = lastIndex(now);
            if (last < 0 || !isBefore(request.cost(), waiting.get(last).cost(), now)) {
                return new Refused(request, Reason.QUEUE_FULL, wait);
            }
            displaced = Optional.of(new Refused(waiting.remove(last), Reason.DISPLACED, wait));
        }
        waiting.add(request);
        return new CostDecision.Waiting(request, displaced);
    }

    /** Starts the request that is to be served next; empty if none may start. To be called after each change until empty. */
    public Optional<CostRequest> startNext() {
        if (waiting.isEmpty() || !hasFreeSlot()) {
            return Optional.empty();
        }
        long now = time.monotonicNanos();
        int first = 0;
        for (int i = 1; i < waiting.size(); i++) {
            if (isBefore(waiting.get(i).cost(), waiting.get(first).cost(), now)) {
                first = i;
            }
        }
        return Optional.of(start(waiting.remove(first)));
    }

    /**
     * Removes a waiting request that is to be refused now; empty if there is none. To be called after each change until empty,
     * before requests are started.
     */
    public Optional<Refused> refuseNext() {
        long now = time.monotonicNanos();
        long workNanos = 0;
        for (int i = 0; i < waiting.size(); i++) {
            if (waiting.get(i).latestStartNanos() - now < 0) {
                return Optional.of(new Refused(waiting.remove(i), Reason.EXPIRED, expectedWait(0)));
            }
            workNanos += waiting.get(i).cost().work().plannedNanos();
        }
        return refuseLastIfHopeless(workNanos, now);
    }

    /** The one that is served last is refused as soon as too much has come before it, so that its caller can go elsewhere. */
    private Optional<Refused> refuseLastIfHopeless(long workNanos, long now) {
        int last = lastIndex(now);
        if (last < 0) {
            return Optional.empty();
        }
        CostRequest request = waiting.get(last);
        Duration wait = expectedWait(workNanos - request.cost().work().plannedNanos());
        if (wait.toNanos() <= request.latestStartNanos() - now) {
            return Optional.empty();
        }
        return Optional.of(new Refused(waiting.remove(last), Reason.DEADLINE_UNREACHABLE, wait));
    }

    /** Removes a waiting request whose caller no longer needs it. */
    public void cancel(CostRequest request) {
        waiting.remove(request);
    }

    /** Ends a request that was started; one that has already ended is ignored. */
    public void complete(CostRequest request) {
        if (inFlight.remove(request)) {
            inFlightWorkNanos -= request.cost().work().plannedNanos();
        }
    }

    private boolean isBefore(RequestCost later, RequestCost earlier, long now) {
        if (later.nested() == earlier.nested()) {
            boolean laterBelow = shares.isBelowShare(later.kind());
            if (laterBelow != shares.isBelowShare(earlier.kind())) {
                return laterBelow;
            }
        }
        return order.precedes(later, earlier, now);
    }

    private boolean hasFreeSlot() {
        return inFlight.size() < slots;
    }

    /** On average, a request in flight has half of its run time left, and one of n requests ends after an n-th of that. */
    private Duration expectedWait(long workAheadNanos) {
        long running = inFlight.size();
        long untilFreeSlotNanos = running == 0 ? 0 : inFlightWorkNanos / running / (RESIDUAL_DIVISOR * running);
        return Duration.ofNanos(untilFreeSlotNanos + workAheadNanos / Math.max(1, slots));
    }

    private int lastIndex(long now) {
        int last = waiting.isEmpty() ? -1 : 0;
        for (int i = 1; i < waiting.size(); i++) {
            if (!isBefore(waiting.get(i).cost(), waiting.get(last).cost(), now)) {
                last = i;
            }
        }
        return last;
    }

    private CostRequest start(CostRequest request) {
        inFlight.add(request);
        inFlightWorkNanos += request.cost().work().plannedNanos();
        shares.onServed(request.cost().kind());
        return request;
    }
}
