package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

/** Concurrency limit equal to the number of slots, independent of outcomes. Confined to one thread. */
public final class SlotLimit implements ConcurrencyLimit {
    private int slots;

    /** Creates a limit for a number of slots, at least 1. */
    public SlotLimit(int slots) {
        this.slots = Math.max(1, slots);
    }

    @Override
    public int limit() {
        return slots;
    }

    @Override
    public boolean isCold() {
        return false;
    }

    @Override
    public void onCompletion(long startNanos, Duration latency, Outcome outcome) {
        // The limit does not depend on outcomes.
    }

    @Override
    public void onInFlight(Collection<Permit> inFlight) {
        // The limit does not depend on requests in flight.
    }

    @Override
    public void onSettings(int coldLimit, int newSlots) {
        slots = Math.max(1, newSlots);
    }

    @Override
    public void onRestart() {
        // During a cold start, a separate limiter bounds the request rate.
    }
}
