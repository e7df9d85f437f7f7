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
 * Decides whether and when a refused request is retried.
 *
 * <p>Invariants: a request is retried only if it certainly did not run, or if it is idempotent and its outcome is
 * unknown; a retry starts before the deadline; retries that may load a backend server stay within the budget. Confined
 * to one thread.
 */
public final class RetryPolicy {
    /** Refusals that would recur on a retry or that report the final outcome. */
    private static final Set<RefusalCode> NOT_RETRIABLE = EnumSet.of(
            RefusalCode.BAD_REQUEST,
            RefusalCode.UNKNOWN_SERVICE,
            RefusalCode.TOO_LARGE,
            RefusalCode.DEADLINE_EXCEEDED,
            RefusalCode.ATTEMPT_TOKEN_REQUIRED,
            RefusalCode.ATTEMPT_OUTCOME_UNKNOWN,
            RefusalCode.ALREADY_RUN,
            RefusalCode.CRASH_SUSPECT);

    /**
     * Refusals issued before the request reached a backend server. The budget protects backend servers from overload,
     * so these retries, which wait for a failover or a move of the partition, are limited only by the deadline.
     */
    private static final Set<RefusalCode> BACKEND_NOT_REACHED = EnumSet.of(
            RefusalCode.NO_OWNER,
            RefusalCode.NOT_OWNER,
            RefusalCode.OWNER_UNREACHABLE,
            RefusalCode.LEASE_LAPSED,
            RefusalCode.ZONE_OUT,
            RefusalCode.DRAINING);

    private static final int MAX_BACKOFF_DOUBLINGS = 20;

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

    /** Creates the default policy: retries for 10% of requests plus one per second; backoff from 10 ms to 1 s. */
    public static RetryPolicy standard(TimeSource time, RandomGenerator random) {
        return new RetryPolicy(new RetryBudget(time, 0.1, 1, 20), Duration.ofMillis(10), Duration.ofSeconds(1), random);
    }

    /** Adds a new client request to the budget. */
    public void onRequest() {
        budget.deposit();
    }

    /**
     * Returns the delay before the next attempt; empty if the request must not be retried.
     *
     * @param idempotent whether the request may run more than once
     * @param retriesMade number of previous retries of the request
     * @param remaining time until the deadline
     */
    public Optional<Duration> nextRetry(Refusal refusal, boolean idempotent, int retriesMade, Duration remaining) {
        if (!isRetriable(refusal, idempotent)) {
            return Optional.empty();
        }
        Duration delay = refusal.retryAfter().plus(backoff(retriesMade));
        if (delay.compareTo(remaining) >= 0 || !isWithinBudget(refusal)) {
            return Optional.empty();
        }
        return Optional.of(delay);
    }

    private boolean isWithinBudget(Refusal refusal) {
        boolean exempt = refusal.runState() == RunState.NOT_RUN && BACKEND_NOT_REACHED.contains(refusal.code());
        return exempt || budget.tryWithdraw();
    }

    /** Returns whether another attempt is safe and may succeed. */
    public static boolean isRetriable(Refusal refusal, boolean idempotent) {
        boolean safe = refusal.runState() == RunState.NOT_RUN || idempotent && refusal.runState() == RunState.UNKNOWN;
        return safe && !NOT_RETRIABLE.contains(refusal.code());
    }

    private Duration backoff(int retriesMade) {
        long exponentialNanos = baseBackoff.toNanos() << Math.min(MAX_BACKOFF_DOUBLINGS, retriesMade);
        return Duration.ofNanos(random.nextLong(Math.min(maxBackoff.toNanos(), exponentialNanos) + 1));
    }
}
