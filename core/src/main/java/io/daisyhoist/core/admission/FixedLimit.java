package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

/**
 * A limit that never changes; the baseline against which the adaptive limit is measured. Immutable.
 *
 * @param limit requests at once
 */
public record FixedLimit(int limit) implements ConcurrencyLimit {
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
    public void onSettings(int coldLimit, int slots) {
        // The limit does not depend on settings.
    }

    @Override
    public void onRestart() {
        // The limit does not depend on restarts.
    }
}
