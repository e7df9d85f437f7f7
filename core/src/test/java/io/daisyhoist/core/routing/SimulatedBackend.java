package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.daisyhoist.core.admission.AdmissionController;
import io.daisyhoist.core.admission.AdmissionDecision;
import io.daisyhoist.core.admission.AdmissionUpdate;
import io.daisyhoist.core.admission.ConcurrencyLimit;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.QueueEntry;
import io.daisyhoist.core.admission.Rank;

/**
 * Simulated backend server with its admission controller.
 *
 * <p>Half of the service time is fixed and half is exponentially distributed; it is multiplied by {@link #slowFactor}
 * and increases while the server is cold. The warm-up takes {@link #warmUpMillis} without overload; a cold server has
 * two slots and ten times the service time. With more requests than its current slots plus two for 300 ms, the server
 * fails: all requests in flight are lost, and it refuses connections for 500 ms and then starts cold.
 */
final class SimulatedBackend {
    private static final double TICK_MILLIS = 20;
    private static final double OVERLOAD_TOLERANCE_MILLIS = 300;
    private static final double RESTART_MILLIS = 500;
    private static final int COLD_SLOTS = 2;

    final AdmissionController admissionController;
    final int slots;
    double slowFactor = 1;
    double warmUpMillis = 2_000;
    int failures;
    double overloadMillis;

    private final SimulatedTime time;
    private final Random random;
    private final double serviceMillis;
    private final Map<QueueEntry, Call> queued = new HashMap<>();
    private final List<Call> running = new ArrayList<>();
    private double warmUpProgress = 1;
    private double overloadedForMillis;
    private double downUntilMillis;

    /** One attempt of a request at this server; a handler is called exactly once unless the call is cancelled. */
    final class Call {
        private final Runnable onResponse;
        private final Runnable onFailure;
        private double startMillis;
        private Permit permit;
        private QueueEntry queueEntry;
        private boolean ended;

        private Call(Runnable onResponse, Runnable onFailure) {
            this.onResponse = onResponse;
            this.onFailure = onFailure;
        }

        void cancel() {
            if (!ended && permit != null) {
                end(this, Outcome.CANCELLED);
            } else if (!ended) {
                ended = true;
                queued.remove(queueEntry);
                apply(admissionController.cancel(queueEntry));
            }
        }
    }

    SimulatedBackend(SimulatedTime time, Random random, ConcurrencyLimit limit, int slots, double serviceMillis) {
        this.time = time;
        this.random = random;
        this.admissionController = new AdmissionController(time, limit, 2 * slots);
        this.slots = slots;
        this.serviceMillis = serviceMillis;
        time.every(TICK_MILLIS, this::tick);
    }

    /** Sends a request; one of the handlers is called when it ends. */
    Call send(Duration remaining, Runnable onResponse, Runnable onFailure) {
        Call call = new Call(onResponse, onFailure);
        AdmissionDecision decision = admissionController.offer(Rank.NORMAL, remaining);
        if (decision instanceof AdmissionDecision.Admitted admitted) {
            start(call, admitted.permit());
        } else if (decision instanceof AdmissionDecision.Queued enqueued) {
            call.queueEntry = enqueued.entry();
            queued.put(call.queueEntry, call);
            enqueued.shed().forEach(this::shed);
        } else {
            call.ended = true;
            time.after(0, onFailure);
        }
        return call;
    }

    /** Makes the server cold without notifying its admission controller. */
    void startCold() {
        warmUpProgress = 0;
    }

    int load() {
        return running.size() + queued.size();
    }

    private void start(Call call, Permit permit) {
        call.permit = permit;
        call.startMillis = time.nowMillis();
        running.add(call);
        if (time.nowMillis() < downUntilMillis) {
            time.after(0.5, () -> end(call, Outcome.CONNECTION_REFUSED));
            return;
        }
        double coldFactor = 1 + 9 * (1 - warmUpProgress);
        double congestionFactor = Math.max(1, running.size() / currentSlots());
        double millis = serviceMillis * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
        time.after(millis * slowFactor * coldFactor * congestionFactor, () -> end(call, Outcome.OK));
    }

    private void end(Call call, Outcome outcome) {
        if (call.ended) {
            return;
        }
        call.ended = true;
        running.remove(call);
        Duration latency = Duration.ofNanos((long) ((time.nowMillis() - call.startMillis) * 1e6));
        apply(admissionController.complete(call.permit, outcome, latency));
        if (outcome == Outcome.OK) {
            call.onResponse.run();
        } else if (outcome != Outcome.CANCELLED) {
            call.onFailure.run();
        }
    }

    private void apply(AdmissionUpdate update) {
        update.shed().forEach(this::shed);
        update.admitted().forEach(admission -> start(queued.remove(admission.entry()), admission.permit()));
    }

    private void shed(AdmissionUpdate.Shed shed) {
        Call call = queued.remove(shed.entry());
        call.ended = true;
        call.onFailure.run();
    }

    private double currentSlots() {
        return COLD_SLOTS + warmUpProgress * (slots - COLD_SLOTS);
    }

    private void tick() {
        boolean down = time.nowMillis() < downUntilMillis;
        boolean overloaded = !down && warmUpProgress < 1 && running.size() > currentSlots() + 2;
        overloadedForMillis = overloaded ? overloadedForMillis + TICK_MILLIS : 0;
        overloadMillis += overloaded ? TICK_MILLIS : 0;
        if (overloadedForMillis >= OVERLOAD_TOLERANCE_MILLIS) {
            fail();
        } else if (!down && !overloaded) {
            warmUpProgress = Math.min(1, warmUpProgress + TICK_MILLIS / warmUpMillis);
        }
    }

    private void fail() {
        failures++;
        overloadedForMillis = 0;
        warmUpProgress = 0;
        downUntilMillis = time.nowMillis() + RESTART_MILLIS;
        List.copyOf(running).forEach(call -> end(call, Outcome.LOST));
    }
}
