package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Decides whether and when a slow request is hedged, that is, also sent to another backend server.
 *
 * <p>Invariants: only idempotent requests that have no key and are not crash suspects are hedged; hedges stay within
 * the budget. There is one policy per service. Confined to one thread.
 */
public final class HedgePolicy {
    private static final double HEDGE_PERCENTILE = 0.95;

    private final RetryBudget budget;
    private final LatencyWindow latencies = new LatencyWindow();

    /** Creates a policy with an explicit budget. */
    public HedgePolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Creates the default policy: hedges for at most 5% of requests. */
    public static HedgePolicy standard(TimeSource time) {
        return new HedgePolicy(new RetryBudget(time, 0.05, 0, 20));
    }

    /** Adds a new client request to the budget. */
    public void onRequest() {
        budget.deposit();
    }

    /** Records the time from the first send of a request to the response that was used. */
    public void onResponse(Duration latency) {
        latencies.add(latency);
    }

    /**
     * Returns the delay from the first send to the call of {@link #tryHedge}; empty if the request must not be hedged
     * or the usual latency is not known yet.
     *
     * @param idempotent whether the request may run more than once
     * @param keyed whether only the owner of a key may run the request
     * @param suspect whether the request was in flight when a backend server was lost
     */
    public Optional<Duration> hedgeDelay(boolean idempotent, boolean keyed, boolean suspect) {
        if (!idempotent || keyed || suspect) {
            return Optional.empty();
        }
        return latencies.percentile(HEDGE_PERCENTILE);
    }

    /** Takes one hedge from the budget; returns false if it is exhausted. */
    public boolean tryHedge() {
        return budget.tryWithdraw();
    }
}
