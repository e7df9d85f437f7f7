package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Collection;

/** Limit on the number of requests in flight at a backend server. Implementations are confined to one thread. */
public interface ConcurrencyLimit {
    /** Returns the current limit, at least 1. */
    int limit();

    /** Returns whether the backend server is assumed to be in a cold start. */
    boolean isCold();

    /**
     * Handles the outcome of a request.
     *
     * @param startNanos monotonic time at which the request was admitted
     * @param latency time from admission to the outcome
     * @param outcome outcome of the request
     */
    void onCompletion(long startNanos, Duration latency, Outcome outcome);

    /**
     * Handles the requests still in flight; called often, so that an unresponsive backend server is detected before the
     * first late response.
     */
    void onInFlight(Collection<Permit> inFlight);

    /**
     * Applies changed settings.
     *
     * @param coldLimit concurrency limit during a cold start, at least 1
     * @param slots concurrency limit when warm, at least the cold limit
     */
    void onSettings(int coldLimit, int slots);

    /** Handles a restart of the backend server. */
    void onRestart();
}
