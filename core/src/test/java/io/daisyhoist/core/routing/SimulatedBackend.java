package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.daisyhoist.core.admission.AdmissionGate;
import io.daisyhoist.core.admission.ConcurrencyLimit;
import io.daisyhoist.core.admission.GateUpdate;
import io.daisyhoist.core.admission.Offer;
import io.daisyhoist.core.admission.Outcome;
import io.daisyhoist.core.admission.Permit;
import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.admission.Ticket;

/**
 * Model of a backend server behind its gate.
 *
 * <p>Service times are half fixed, half exponential, and grow with {@link #slowFactor} and while it is cold. Warmth rises
 * over {@link #warmUpMillis} without overload; a cold server has two slots and takes ten times as long. More than its present
 * slots plus two for 300 ms make it fail: everything in flight is lost, and it refuses connections for 500 ms and then
 * starts cold.
 */
final class SimulatedBackend {
    private static final double TICK_MILLIS = 20;
    private static final double OVERLOAD_TOLERANCE_MILLIS = 300;
    private static final double RESTART_MILLIS = 500;
    private static final int COLD_SLOTS = 2;

    final AdmissionGate gate;
    final int slots;
    double slowFactor = 1;
    double warmUpMillis = 2_000;
    int failures;
    double overloadMillis;

    private final SimulatedTime time;
    private final Random random;
    private final double serviceMillis;
    private final Map<Ticket, Call> waiting = new HashMap<>();
    private final List<Call> running = new ArrayList<>();
    private double warmth = 1;
    private double overloadedFor;
    private double downUntilMillis;

    /** One copy of a request at this server; the handler learns its end exactly once unless it cancels it. */
    final class Call {
        private final Runnable onResponse;
        private final Runnable onFailure;
        private double startMillis;
        private Permit permit;
        private Ticket ticket;
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
                waiting.remove(ticket);
                apply(gate.cancel(ticket));
            }
        }
    }

    SimulatedBackend(SimulatedTime time, Random random, ConcurrencyLimit limit, int slots, double serviceMillis) {
        this.time = time;
        this.random = random;
        this.gate = new AdmissionGate(time, limit, 2 * slots);
        this.slots = slots;
        this.serviceMillis = serviceMillis;
        time.every(TICK_MILLIS, this::tick);
    }

    /** Sends a request; empty handlers are told later or at once. */
    Call send(Duration remaining, Runnable onResponse, Runnable onFailure) {
        Call call = new Call(onResponse, onFailure);
        Offer offer = gate.offer(Rank.NORMAL, remaining);
        if (offer instanceof Offer.Admitted admitted) {
            start(call, admitted.permit());
        } else if (offer instanceof Offer.Queued queued) {
            call.ticket = queued.ticket();
            waiting.put(call.ticket, call);
            queued.shed().forEach(this::shed);
        } else {
            call.ended = true;
            time.after(0, onFailure);
        }
        return call;
    }

    /** Loses its warmth without telling anybody. */
    void regressToColdStart() {
        warmth = 0;
    }

    int load() {
        return running.size() + waiting.size();
    }

    private void start(Call call, Permit permit) {
        call.permit = permit;
        call.startMillis = time.nowMillis();
        running.add(call);
        if (time.nowMillis() < downUntilMillis) {
            time.after(0.5, () -> end(call, Outcome.CONNECTION_REFUSED));
            return;
        }
        double coldFactor = 1 + 9 * (1 - warmth);
        double crowding = Math.max(1, running.size() / presentSlots());
        double millis = serviceMillis * (0.5 - 0.5 * Math.log(1 - random.nextDouble()));
        time.after(millis * slowFactor * coldFactor * crowding, () -> end(call, Outcome.OK));
    }

    private void end(Call call, Outcome outcome) {
        if (call.ended) {
            return;
        }
        call.ended = true;
        running.remove(call);
        Duration latency = Duration.ofNanos((long) ((time.nowMillis() - call.startMillis) * 1e6));
        apply(gate.complete(call.permit, outcome, latency));
        if (outcome == Outcome.OK) {
            call.onResponse.run();
        } else if (outcome != Outcome.CANCELLED) {
            call.onFailure.run();
        }
    }

    private void apply(GateUpdate update) {
        update.shed().forEach(this::shed);
        update.admitted().forEach(admission -> start(waiting.remove(admission.ticket()), admission.permit()));
    }

    private void shed(GateUpdate.Shed shed) {
        Call call = waiting.remove(shed.ticket());
        call.ended = true;
        call.onFailure.run();
    }

    private double presentSlots() {
        return COLD_SLOTS + warmth * (slots - COLD_SLOTS);
    }

    private void tick() {
        boolean down = time.nowMillis() < downUntilMillis;
        boolean overloaded = !down && warmth < 1 && running.size() > presentSlots() + 2;
        overloadedFor = overloaded ? overloadedFor + TICK_MILLIS : 0;
        overloadMillis += overloaded ? TICK_MILLIS : 0;
        if (overloadedFor >= OVERLOAD_TOLERANCE_MILLIS) {
            fail();
        } else if (!down && !overloaded) {
            warmth = Math.min(1, warmth + TICK_MILLIS / warmUpMillis);
        }
    }

    private void fail() {
        failures++;
        overloadedFor = 0;
        warmth = 0;
        downUntilMillis = time.nowMillis() + RESTART_MILLIS;
        List.copyOf(running).forEach(call -> end(call, Outcome.LOST));
    }
}
