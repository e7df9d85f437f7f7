package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.IntPredicate;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Loans, demand and waiting requests of one customer at one daemon. Confined to one thread.
 */
final class CustomerLoans {
    /** Part of a second for which the remaining loans must suffice, or the next one is asked for. */
    private static final double REFILL_LEAD_SECONDS = 0.1;

    private final CustomerName customer;
    private final TimeSource time;
    private final PendingReturns returns;
    private final int firstIndex;
    private final DemandRate demand;
    private final Deque<BorrowedLoan> loans = new ArrayDeque<>();
    private final Deque<Waiter> waiters = new ArrayDeque<>();
    private QuotaPlan plan;
    private long[] shardRetryNanos;
    private Duration horizon = QuotaLender.SHORT_LOAN;
    private long validFromNumber;
    private Optional<Long> askNumber = Optional.empty();
    private boolean lenderRefused;
    private int unreportedUse;

    /** Request that waits for a loan. */
    record Waiter(Consumer<QuotaDecision> decision, long sinceNanos) {}

    CustomerLoans(CustomerName customer, DaemonId self, QuotaPlan plan, TimeSource time, PendingReturns returns) {
        this.customer = customer;
        this.time = time;
        this.returns = returns;
        this.plan = plan;
        this.firstIndex = QuotaShards.firstIndex(customer, self, plan.shards());
        this.demand = new DemandRate(time.monotonicNanos());
        resetShards();
    }

    private void resetShards() {
        shardRetryNanos = new long[plan.shards()];
        Arrays.fill(shardRetryNanos, time.monotonicNanos());
    }

    /**
     * Takes over the plan of the newest configuration. Loans of a larger one are discarded, so that they do not outlive it.
     *
     * @param nextNumber number of the next message; loans that were asked for earlier belong to the old plan
     */
    void onPlan(QuotaPlan next, long nextNumber) {
        if (next.equals(plan)) {
            return;
        }
        if (next.shardAllowance() < plan.shardAllowance() || next.shards() < plan.shards()) {
            loans.clear();
            validFromNumber = nextNumber;
        }
        plan = next;
        resetShards();
    }

    CustomerName customer() {
        return customer;
    }

    Deque<Waiter> waiters() {
        return waiters;
    }

    void recordDemand() {
        demand.record(time.monotonicNanos());
    }

    /** Takes one request from the oldest loan that has one left. */
    Optional<QuotaPermit> take() {
        removeLapsed();
        Iterator<BorrowedLoan> iterator = loans.iterator();
        while (iterator.hasNext()) {
            BorrowedLoan loan = iterator.next();
            if (loan.remaining() > 0) {
                loan.add(-1);
                unreportedUse++;
                return Optional.of(new QuotaPermit(() -> giveBack(loan)));
            }
        }
        return Optional.empty();
    }

    private void giveBack(BorrowedLoan loan) {
        unreportedUse = Math.max(0, unreportedUse - 1);
        if (loan.hasLapsed(time)) {
            returns.add(customer, loan, 1);
        } else {
            loan.add(1);
        }
    }

    /** Adds a loan; one that has lapsed already, or that belongs to an earlier plan, is not used. */
    void addLoan(BorrowedLoan loan, Duration validity) {
        if (loan.number() < validFromNumber) {
            return;
        }
        loans.add(loan);
        horizon = validity;
        lenderRefused = false;
        removeLapsed();
    }

    private void removeLapsed() {
        loans.removeIf(loan -> {
            boolean lapsed = loan.hasLapsed(time);
            if (lapsed) {
                returns.add(customer, loan, loan.remaining());
            }
            return lapsed;
        });
    }

    int available() {
        removeLapsed();
        return loans.stream().mapToInt(BorrowedLoan::remaining).sum();
    }

    /** Returns whether more should be asked for, because requests wait or will soon. */
    boolean needsLoan() {
        if (askNumber.isPresent()) {
            return false;
        }
        double rate = demand.perSecond(time.monotonicNanos());
        return !waiters.isEmpty() || expected(rate) >= 1 && available() <= rate * REFILL_LEAD_SECONDS;
    }

    /** Returns the number of requests to ask for. */
    int wanted() {
        double rate = demand.perSecond(time.monotonicNanos());
        return Math.max(1, waiters.size() + expected(rate) - available());
    }

    private int expected(double rate) {
        return (int) (rate * horizon.toNanos() / 1e9);
    }

    /** Returns the shard of the customer to ask next; empty if there is none at present. */
    OptionalInt nextIndex(IntPredicate usableShard) {
        long now = time.monotonicNanos();
        for (int offset = 0; offset < plan.shards(); offset++) {
            int index = (firstIndex + offset) % plan.shards();
            if (shardRetryNanos[index] - now <= 0 && usableShard.test(QuotaShards.shardOf(customer, index))) {
                return OptionalInt.of(index);
            }
        }
        return OptionalInt.empty();
    }

    /** Does not ask a shard for the given time. */
    void onRefused(int index, Duration moreAfter) {
        lenderRefused = true;
        postpone(index, moreAfter);
    }

    void postpone(int index, Duration delay) {
        if (index < shardRetryNanos.length) {
            shardRetryNanos[index] = time.monotonicNanos() + delay.toNanos();
        }
    }

    void onAsked(long number) {
        askNumber = Optional.of(number);
        unreportedUse = 0;
    }

    /** Ends the message with the given number, unless a later one has been sent since. */
    void onAskEnded(long number) {
        if (isAskingBy(number)) {
            askNumber = Optional.empty();
        }
    }

    boolean isAsking() {
        return askNumber.isPresent();
    }

    boolean isAskingBy(long number) {
        return askNumber.isPresent() && askNumber.get() == number;
    }

    int unreportedUse() {
        return unreportedUse;
    }

    boolean hasLenderRefused() {
        return lenderRefused;
    }

    /** Returns the time until the next shard can be asked. */
    Duration timeUntilShard() {
        long now = time.monotonicNanos();
        long shortest = Long.MAX_VALUE;
        for (long retryNanos : shardRetryNanos) {
            shortest = Math.min(shortest, Math.max(0, retryNanos - now));
        }
        return Duration.ofNanos(shortest);
    }

    /** Returns whether there is nothing to remember. */
    boolean isIdle() {
        return waiters.isEmpty()
                && askNumber.isEmpty()
                && available() == 0
                && timeUntilShard().isZero()
                && expected(demand.perSecond(time.monotonicNanos())) == 0;
    }
}
