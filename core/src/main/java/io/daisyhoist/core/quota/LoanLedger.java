package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import io.daisyhoist.core.model.ProcessId;

/**
 * Loans of one lender to all daemons for one customer.
 *
 * <p>Invariant: the loans that may have been used in any window of the given length are at most the allowance at the time of
 * the latest of them. A loan counts from the time of lending until one window after it has lapsed, less what its borrower
 * has returned. In addition, a token bucket spreads the loans over the window. Confined to one thread.
 */
final class LoanLedger {
    private static final double NANOS_PER_SECOND = 1e9;

    /** Rooms of up to this size are lent to one borrower; of a larger one it gets half, so that others get some, too. */
    private static final double UNDIVIDED_ROOM = 4;

    /** More refusals would make the borrowers ask less often. */
    private static final double MAX_REFUSALS_PER_SECOND = 10;

    private static final double MIN_RETRY_MILLIS = 200;
    private static final double MAX_RETRY_MILLIS = 2_000;

    private final long windowNanos;
    private final DemandRate refusals;
    private double retryMillis = MIN_RETRY_MILLIS;
    private final PriorityQueue<Loan> loans =
            new PriorityQueue<>(Comparator.comparingLong((Loan loan) -> loan.countsUntilNanos));
    private double lent;
    private double scaledAllowance;
    private double paceLevel;
    private long pacedAtNanos;

    private static final class Loan {
        private final ProcessId borrower;
        private final long number;
        private final long countsUntilNanos;
        private double requests;

        private Loan(ProcessId borrower, long number, long countsUntilNanos, double requests) {
            this.borrower = borrower;
            this.number = number;
            this.countsUntilNanos = countsUntilNanos;
            this.requests = requests;
        }
    }

    LoanLedger(Duration window, QuotaPlan plan, long nowNanos) {
        this.windowNanos = window.toNanos();
        this.refusals = new DemandRate(nowNanos);
        this.scaledAllowance = plan.shardAllowance();
        this.paceLevel = Double.MAX_VALUE;
        this.pacedAtNanos = nowNanos;
    }

    /**
     * Adapts to a plan that has become smaller: daemons discard loans of the larger one, so a part of what was lent no longer
     * counts. What was used before and what is lent from now on stays within the larger allowance.
     */
    void onPlan(QuotaPlan plan) {
        double ratio = plan.shardAllowance() / scaledAllowance;
        if (ratio < 1) {
            loans.forEach(loan -> loan.requests *= ratio);
            lent *= ratio;
        }
        scaledAllowance = plan.shardAllowance();
    }

    /** Returns whether nothing that was lent counts any more. */
    boolean isEmpty(long nowNanos) {
        removeLapsed(nowNanos);
        return loans.isEmpty();
    }

    /** Returns the requests lent that count at present. */
    double lent(long nowNanos) {
        removeLapsed(nowNanos);
        return lent;
    }

    /** Returns the requests lent that count at present by borrower. */
    Map<ProcessId, Double> lentByBorrower(long nowNanos) {
        removeLapsed(nowNanos);
        Map<ProcessId, Double> byBorrower = new HashMap<>();
        loans.forEach(loan -> byBorrower.merge(loan.borrower, loan.requests, Double::sum));
        return byBorrower;
    }

    /** Takes back a part of an earlier loan. */
    void returnLoans(ProcessId borrower, List<QuotaDemand.Return> returns, long nowNanos) {
        if (returns.isEmpty()) {
            return;
        }
        removeLapsed(nowNanos);
        for (QuotaDemand.Return part : returns) {
            for (Loan loan : loans) {
                if (loan.number == part.number() && loan.borrower.equals(borrower)) {
                    double returned = Math.min(loan.requests, part.requests());
                    loan.requests -= returned;
                    lent -= returned;
                    paceLevel += returned;
                }
            }
        }
    }

    /** Returns the requests that can be lent to one borrower now. */
    int room(Pace pace, int wanted, long nowNanos) {
        removeLapsed(nowNanos);
        refill(pace, nowNanos);
        double room = Math.min(pace.allowance() - lent, paceLevel);
        double undivided = Math.min(room, UNDIVIDED_ROOM);
        return (int) Math.max(0, Math.min(wanted, Math.floor(Math.max(undivided, room / 2))));
    }

    /** Returns the time after which another request can be lent. */
    Duration timeUntilRoom(Pace pace, long nowNanos) {
        removeLapsed(nowNanos);
        refill(pace, nowNanos);
        long paced = (long) Math.max(0, (1 - paceLevel) / pace.perSecond() * NANOS_PER_SECOND);
        long counted = 0;
        if (pace.allowance() - lent < 1 && !loans.isEmpty()) {
            counted = loans.peek().countsUntilNanos - nowNanos;
        }
        return Duration.ofNanos(Math.max(paced, counted));
    }

    /**
     * Returns the time for which a borrower that gets nothing should not ask again. It grows while refusals are frequent, so
     * that the messages of a customer over its quota do not grow with the number of daemons.
     */
    Duration onRefusal(long nowNanos) {
        refusals.record(nowNanos);
        double factor = refusals.perSecond(nowNanos) > MAX_REFUSALS_PER_SECOND ? 1.1 : 0.9;
        retryMillis = Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, retryMillis * factor));
        return Duration.ofMillis((long) retryMillis);
    }

    /** Records a loan. */
    void lend(ProcessId borrower, long number, int requests, Duration validity, long nowNanos) {
        loans.add(new Loan(borrower, number, nowNanos + validity.toNanos() + windowNanos, requests));
        lent += requests;
        paceLevel -= requests;
    }

    private void removeLapsed(long nowNanos) {
        while (!loans.isEmpty() && loans.peek().countsUntilNanos - nowNanos < 0) {
            lent -= loans.poll().requests;
        }
        if (loans.isEmpty()) {
            // Removes rounding errors of scaled loans.
            lent = 0;
        }
    }

    private void refill(Pace pace, long nowNanos) {
        double refilled = paceLevel + (nowNanos - pacedAtNanos) / NANOS_PER_SECOND * pace.perSecond();
        paceLevel = Math.min(pace.burst(), refilled);
        pacedAtNanos = nowNanos;
    }

    /**
     * Limits of a lender for one customer. Immutable.
     *
     * @param allowance requests lent for any window
     * @param perSecond rate at which they are lent
     * @param burst requests that are lent at once
     */
    record Pace(double allowance, double perSecond, double burst) {
        /** Returns the limits of a lender whose shards of the customer allow the given number of requests. */
        static Pace of(QuotaPlan plan, double allowance) {
            double share = allowance / plan.shardAllowance();
            double burst = Math.max(Math.min(UNDIVIDED_ROOM, allowance), plan.shardBurst() * share);
            return new Pace(allowance, plan.shardRatePerSecond() * share, burst);
        }
    }
}
