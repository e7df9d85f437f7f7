package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

/**
 * Concurrency limit equal to the number of slots, independent of outcomes. Confined to one thread.
 */
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
    public void onInFlight(Collection<Permit> running) {
        // The limit does not depend on requests in flight.
    }

    @Override
    public void onSettings(int coldLimit, int newSlots) {
        slots = Math.max(1, newSlots);
    }

    @Override
    public void onRestart() {
        // The load during a cold start is bounded by a request rate elsewhere.
    }
}
