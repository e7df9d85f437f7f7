package io.daisyhoist.core.retry;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Bounds extra requests to a share of the ordinary ones plus a small floor.
 *
 * <p>Invariant: in any span of time, withdrawals &lt;= ratio x requests + floorPerSecond x seconds + capacity. Confined to
 * one thread.
 */
public final class RetryBudget {
    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final double ratio;
    private final double floorPerSecond;
    private final double capacity;
    private double balance;
    private long refilledNanos;

    /**
     * Creates a budget that starts full.
     *
     * @param ratio extra requests per ordinary request
     * @param floorPerSecond extra requests per second that are allowed without ordinary ones
     * @param capacity most extra requests saved up
     */
    public RetryBudget(TimeSource time, double ratio, double floorPerSecond, double capacity) {
        this.time = time;
        this.ratio = ratio;
        this.floorPerSecond = floorPerSecond;
        this.capacity = capacity;
        this.balance = capacity;
        this.refilledNanos = time.monotonicNanos();
    }

    /** Counts an ordinary request. */
    public void deposit() {
        balance = Math.min(capacity, balance + ratio);
    }

    /** Takes one extra request from the budget; false when it is exhausted. */
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
        double seconds = (now - refilledNanos) / NANOS_PER_SECOND;
        refilledNanos = now;
        balance = Math.min(capacity, balance + floorPerSecond * seconds);
    }
}
