package io.daisyhoist.core.routing;

import java.time.Duration;

/**
 * Takes one backend server out of selection after consecutive failures, and returns it in steps.
 *
 * <p>Whether the ejection takes place is decided by the caller, who knows how many other servers are ejected. Confined to
 * one thread.
 */
final class Ejection {
    /** A server that fails one request in four has this many failures in a row about once in a thousand requests. */
    private static final int CONSECUTIVE_FAILURES = 5;

    private static final Duration INITIAL_DURATION = Duration.ofSeconds(1);
    private static final int MAX_DOUBLINGS = 4;

    /** Share of its usual requests that a server gets on return, until the first one succeeds. */
    private static final double PROBING_SHARE = 0.1;

    private static final double STEP = 2;

    private int consecutiveFailures;
    private int doublings;
    private double share = 1;
    private boolean ejected;
    private long untilNanos;

    /** Returns whether the server has failed so often that it is to be ejected. */
    boolean isDue() {
        return !ejected && (consecutiveFailures >= CONSECUTIVE_FAILURES || share < 1 && consecutiveFailures > 0);
    }

    /** Ejects the server; returns for how long. */
    Duration eject(long nowNanos) {
        Duration duration = INITIAL_DURATION.multipliedBy(1L << doublings);
        doublings = Math.min(doublings + 1, MAX_DOUBLINGS);
        ejected = true;
        untilNanos = nowNanos + duration.toNanos();
        return duration;
    }

    /** Returns whether the server is ejected at present; after the end of the ejection it returns to probing. */
    boolean isEjected(long nowNanos) {
        if (ejected && untilNanos - nowNanos <= 0) {
            ejected = false;
            consecutiveFailures = 0;
            share = PROBING_SHARE;
        }
        return ejected;
    }

    /** Returns the share of its usual requests that the server may get. */
    double share() {
        return share;
    }

    void onSuccess() {
        consecutiveFailures = 0;
        share = Math.min(1, share * STEP);
        if (share >= 1) {
            doublings = 0;
        }
    }

    void onFailure() {
        consecutiveFailures++;
    }
}
