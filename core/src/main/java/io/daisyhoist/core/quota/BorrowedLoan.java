package io.daisyhoist.core.quota;

import java.time.Duration;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Loan as its borrower sees it.
 *
 * <p>Invariant: it lapses on this daemon's clock before it lapses on that of its lender, because its validity counts from
 * the time at which it was asked for, is shortened by the largest drift of clocks, and includes times of suspension. Confined
 * to one thread.
 */
final class BorrowedLoan {
    /** Largest fraction by which the clock of the borrower may run slower than that of the lender. */
    private static final double MAX_CLOCK_DRIFT = 0.03;

    private final DaemonId lender;
    private final long number;
    private final ElapsedTimer askedAt;
    private final Duration validity;
    private int remaining;

    BorrowedLoan(DaemonId lender, long number, ElapsedTimer askedAt, Duration validity, int requests) {
        this.lender = lender;
        this.number = number;
        this.askedAt = askedAt;
        this.validity = Duration.ofNanos((long) (validity.toNanos() * (1 - MAX_CLOCK_DRIFT)));
        this.remaining = requests;
    }

    DaemonId lender() {
        return lender;
    }

    long number() {
        return number;
    }

    int remaining() {
        return remaining;
    }

    void add(int requests) {
        remaining += requests;
    }

    boolean hasLapsed(TimeSource time) {
        return askedAt.elapsed(time).compareTo(validity) >= 0;
    }

    Duration age(TimeSource time) {
        return askedAt.elapsed(time);
    }
}
