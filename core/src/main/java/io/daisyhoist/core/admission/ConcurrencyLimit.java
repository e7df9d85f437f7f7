package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

/** Number of requests that a backend server may run at once. Implementations are confined to one thread. */
public interface ConcurrencyLimit {
    /** Returns the present limit, at least 1. */
    int limit();

    /** Returns whether the backend server is held to be in a cold start. */
    boolean isCold();

    /**
     * Learns how a request ended.
     *
     * @param startNanos monotonic time at which the request was admitted
     * @param latency time from admission to the outcome
     * @param outcome how it ended
     */
    void onCompletion(long startNanos, Duration latency, Outcome outcome);

    /**
     * Learns which requests have not ended yet; called often, so that a silent backend server is noticed before the first
     * late response.
     */
    void onInFlight(Collection<Permit> running);

    /**
     * Takes over changed settings.
     *
     * @param coldLimit requests at once during a cold start, at least 1
     * @param slots requests at once when warm, at least the cold limit
     */
    void onSettings(int coldLimit, int slots);

    /** Learns that the backend server was started anew. */
    void onRestart();
}
