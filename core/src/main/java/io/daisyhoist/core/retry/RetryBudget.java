package io.daisyhoist.core.retry;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Token bucket that limits extra requests to a fraction of the original requests plus a minimum rate.
 *
 * <p>Invariant: in any time interval, withdrawals &lt;= ratio x requests + minPerSecond x seconds + capacity. Confined
 * to one thread.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final double ratio;
    private final double minPerSecond;
    private final double capacity;
    private double balance;
    private long lastRefillNanos;

    /**
     * Creates a full budget.
     *
     * @param ratio extra requests per original request
     * @param minPerSecond extra requests per second that are allowed without original requests
     * @param capacity maximum number of unused extra requests that accumulate
     */
    public RetryBudget(TimeSource time, double ratio, double minPerSecond, double capacity) {
        this.time = time;
        this.ratio = ratio;
        this.minPerSecond = minPerSecond;
        this.capacity = capacity;
        this.balance = capacity;
        this.lastRefillNanos = time.monotonicNanos();
    }

    /** Adds an original request to the budget. */
    public void deposit() {
        balance = Math.min(capacity, balance + ratio);
    }

    /** Takes one extra request from the budget; returns false if it is exhausted. */
    public boolean tryWithdraw() {
        refill();
        if (balance < 1) {
            return false;
        }
        balance--;
        return true;
    }

    private void refill() {
        long now = time.monotonicNanos();
        double seconds = (now - lastRefillNanos) / NANOS_PER_SECOND;
        lastRefillNanos = now;
        balance = Math.min(capacity, balance + minPerSecond * seconds);
    }
}
