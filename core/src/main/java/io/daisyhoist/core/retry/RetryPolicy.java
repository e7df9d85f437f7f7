package io.daisyhoist.core.retry;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.time.TimeSource;

/**
 * Decides whether and when a refused request is sent again.
 *
 * <p>Invariants: a request is retried only if it certainly did not run, or if it is repeatable and its outcome is
 * unknown; a retry starts before the deadline; retries that may load a
 * backend server stay within the budget. Confined to one thread.
 */
public final class RetryPolicy {
    /** Refusals that another attempt would meet again, or that name the final outcome. */
    private static final Set<RefusalCode> FINAL = EnumSet.of(
            RefusalCode.BAD_REQUEST,
            RefusalCode.UNKNOWN_SERVICE,
            RefusalCode.TOO_LARGE,
            RefusalCode.DEADLINE_EXCEEDED,
            RefusalCode.ATTEMPT_TOKEN_REQUIRED,
            RefusalCode.ATTEMPT_OUTCOME_UNKNOWN,
            RefusalCode.ALREADY_RUN,
            RefusalCode.CRASH_SUSPECT);

    /**
     * Refusals that no backend server has seen. The budget protects backend servers from load, so it does not bound the
     * retries of requests that wait for a failover or a move; their deadline does.
     */
    private static final Set<RefusalCode> WITHOUT_LOAD = EnumSet.of(
            RefusalCode.NO_OWNER,
            RefusalCode.NOT_OWNER,
            RefusalCode.OWNER_UNREACHABLE,
            RefusalCode.LEASE_LAPSED,
            RefusalCode.ZONE_OUT,
            RefusalCode.DRAINING);

    private static final int MAX_DOUBLINGS = 20;

    private final RetryBudget budget;
    private final Duration baseBackoff;
    private final Duration maxBackoff;
    private final RandomGenerator random;

    /** Creates a policy with an explicit budget and backoff. */
    public RetryPolicy(RetryBudget budget, Duration baseBackoff, Duration maxBackoff, RandomGenerator random) {
        this.budget = budget;
        this.baseBackoff = baseBackoff;
        this.maxBackoff = maxBackoff;
        this.random = random;
    }

    /** Creates the policy of the design: 10% of requests plus one per second; backoff from 10 ms to 1 s. */
    public static RetryPolicy standard(TimeSource time, RandomGenerator random) {
        return new RetryPolicy(new RetryBudget(time, 0.1, 1, 20), Duration.ofMillis(10), Duration.ofSeconds(1), random);
    }

    /** Counts a new request of a client towards the budget. */
    public void onRequest() {
        budget.deposit();
    }

    /**
     * Returns the time to wait before the next attempt; empty when there must be none.
     *
     * @param repeatable whether the request may run more than once
     * @param retriesMade retries already made of this request
     * @param remaining time until the deadline
     */
    public Optional<Duration> nextRetry(Refusal refusal, boolean repeatable, int retriesMade, Duration remaining) {
        if (!isRetriable(refusal, repeatable)) {
            return Optional.empty();
        }
        Duration wait = refusal.retryAfter().plus(backoff(retriesMade));
        if (wait.compareTo(remaining) >= 0 || !isWithinBudget(refusal)) {
            return Optional.empty();
        }
        return Optional.of(wait);
    }

    private boolean isWithinBudget(Refusal refusal) {
        boolean free = refusal.runState() == RunState.NOT_RUN && WITHOUT_LOAD.contains(refusal.code());
        return free || budget.tryWithdraw();
    }

    /** Returns whether another attempt is safe and may succeed. */
    public static boolean isRetriable(Refusal refusal, boolean repeatable) {
        boolean safe = refusal.runState() == RunState.NOT_RUN || repeatable && refusal.runState() == RunState.UNKNOWN;
        return safe && !FINAL.contains(refusal.code());
    }

    private Duration backoff(int retriesMade) {
        long ceiling = baseBackoff.toNanos() << Math.min(MAX_DOUBLINGS, retriesMade);
        return Duration.ofNanos(random.nextLong(Math.min(maxBackoff.toNanos(), ceiling) + 1));
    }
}
