package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.TimeSource;

/**
 * Decides whether and when a second copy of a slow request is sent to another backend server.
 *
 * <p>Invariants: only repeatable requests without a key, that are no crash suspects, are hedged; hedges stay within the
 * budget. One per service. Confined to one thread.
 */
public final class HedgePolicy {
    private static final double PERCENTILE = 0.95;

    private final RetryBudget budget;
    private final LatencyWindow latencies = new LatencyWindow();

    /** Creates a policy with an explicit budget. */
    public HedgePolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Creates the policy of the design: hedges for at most 5% of requests. */
    public static HedgePolicy standard(TimeSource time) {
        return new HedgePolicy(new RetryBudget(time, 0.05, 0, 20));
    }

    /** Counts a new request of a client towards the budget. */
    public void onRequest() {
        budget.deposit();
    }

    /** Learns the time from the first send of a request to the response that was used. */
    public void onResponse(Duration latency) {
        latencies.add(latency);
    }

    /**
     * Returns the time after the first send at which to ask {@link #tryHedge}; empty when the request must not be
     * hedged or the usual latency is not known yet.
     *
     * @param repeatable whether the request may run more than once
     * @param keyed whether only the owner of a key may run the request
     * @param suspect whether the request was in flight when a backend server was lost
     */
    public Optional<Duration> hedgeDelay(boolean repeatable, boolean keyed, boolean suspect) {
        if (!repeatable || keyed || suspect) {
            return Optional.empty();
        }
        return latencies.percentile(PERCENTILE);
    }

    /** Takes one hedge from the budget; false when it is exhausted. */
    public boolean tryHedge() {
        return budget.tryWithdraw();
    }
}
