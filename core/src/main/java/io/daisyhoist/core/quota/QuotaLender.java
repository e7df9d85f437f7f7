package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Lends quota of the customers whose shards this daemon holds.
 *
 * <p>Invariant: for each customer, the loans that count in any window are at most the allowance of the shards that this
 * daemon holds, whoever asks. Memory is bounded by the number of configured customers. Confined to one thread.
 */
public final class QuotaLender {
    /** Validity of a loan while quota is scarce; unused parts become available soon. */
    static final Duration SHORT_LOAN = Duration.ofMillis(300);

    /** Validity of a loan while less than half of the allowance is lent, so that steady demand causes few messages. */
    static final Duration LONG_LOAN = Duration.ofMillis(2_000);

    private static final double AMPLE_SHARE = 0.5;

    /** Time for which a borrower that got less than it wanted asks others first. */
    private static final Duration MIN_MORE_AFTER = Duration.ofMillis(200);

    private static final Duration MAX_MORE_AFTER = Duration.ofMillis(2_000);

    private final TimeSource time;
    private final Duration window;
    private final ShardOwnership tenure;
    private final Supplier<QuotaShards> shards;
    private final BooleanSupplier registered;
    private final Function<CustomerName, Optional<QuotaPlan>> plans;
    private final Map<CustomerName, LoanLedger> ledgers = new HashMap<>();

    /**
     * Creates a lender that has lent nothing.
     *
     * @param window sliding window in which the requests of a customer are counted
     * @param tenure shards of this daemon; used by this lender only
     * @param shards holders of the shards according to the members that this daemon knows
     * @param registered whether no other daemon may have taken this one for lost; asked before each loan, because the
     *     process may have been suspended
     * @param plans division of the quota of a customer; empty for customers without a quota
     */
    public QuotaLender(
            TimeSource time,
            Duration window,
            ShardOwnership tenure,
            Supplier<QuotaShards> shards,
            BooleanSupplier registered,
            Function<CustomerName, Optional<QuotaPlan>> plans) {
        this.time = time;
        this.window = window;
        this.tenure = tenure;
        this.shards = shards;
        this.registered = registered;
        this.plans = plans;
    }

    /** Updates the shards, and forgets customers of which nothing that was lent counts any more. */
    public void refresh() {
        tenure.update(shards.get(), registered.getAsBoolean());
        long now = time.monotonicNanos();
        ledgers.values().removeIf(ledger -> ledger.isEmpty(now));
    }

    /**
     * Lends quota.
     *
     * @param number number of the message, by which the borrower may return a part of the loan later
     */
    public QuotaPart lend(ProcessId borrower, long number, QuotaDemand demand) {
        tenure.update(shards.get(), registered.getAsBoolean());
        CustomerName customer = demand.customer();
        Optional<QuotaPlan> plan = plans.apply(customer);
        if (plan.isEmpty()) {
            return refusal(customer, MAX_MORE_AFTER);
        }
        double allowance = tenure.allowance(customer, plan.get());
        LoanLedger ledger = ledgers.get(customer);
        if (ledger == null && allowance < 1) {
            return refusal(customer, MAX_MORE_AFTER);
        }
        long now = time.monotonicNanos();
        if (ledger == null) {
            ledger = new LoanLedger(window, plan.get(), now);
            ledgers.put(customer, ledger);
        }
        ledger.onPlan(plan.get());
        ledger.returnLoans(borrower, demand.returns(), now);
        if (demand.wanted() == 0 || allowance < 1) {
            return refusal(customer, demand.wanted() == 0 ? Duration.ZERO : MAX_MORE_AFTER);
        }
        LoanLedger.Pace pace = LoanLedger.Pace.of(plan.get(), allowance);
        int requests = ledger.room(pace, demand.wanted(), now);
        if (requests == 0) {
            return refusal(customer, longer(ledger.onRefusal(now), ledger.timeUntilRoom(pace, now)));
        }
        boolean ample = ledger.lent(now) + requests <= allowance * AMPLE_SHARE;
        Duration validity = ample && demand.wanted() > 1 ? LONG_LOAN : SHORT_LOAN;
        ledger.lend(borrower, number, requests, validity, now);
        Duration moreAfter =
                requests < demand.wanted() ? longer(MIN_MORE_AFTER, ledger.timeUntilRoom(pace, now)) : Duration.ZERO;
        return new QuotaPart(customer, requests, validity, moreAfter);
    }

    /**
     * Returns whether certainly no loans of this daemon from a shard count.
     *
     * @param holder daemon that has become the holder of the shard
     * @param runnerUp daemon that would hold it otherwise, according to the holder
     */
    public boolean isUnused(int shard, DaemonId holder, DaemonId runnerUp) {
        if (shard < 0 || shard >= QuotaShards.SHARDS) {
            return false;
        }
        tenure.update(shards.get(), registered.getAsBoolean());
        long now = time.monotonicNanos();
        boolean lent = ledgers.entrySet().stream()
                .filter(entry -> !entry.getValue().isEmpty(now))
                .anyMatch(entry -> plans.apply(entry.getKey())
                        .filter(plan -> !QuotaShards.isShardOf(entry.getKey(), plan.shards(), shard))
                        .isEmpty());
        return tenure.isUnused(shard, holder, runnerUp, lent);
    }

    private static QuotaPart refusal(CustomerName customer, Duration moreAfter) {
        return new QuotaPart(customer, 0, Duration.ZERO, moreAfter);
    }

    private static Duration longer(Duration minimum, Duration moreAfter) {
        if (moreAfter.compareTo(minimum) < 0) {
            return minimum;
        }
        return moreAfter.compareTo(MAX_MORE_AFTER) > 0 ? MAX_MORE_AFTER : moreAfter;
    }

    /**
     * Use of a customer's quota at this lender. Immutable.
     *
     * @param customer the customer
     * @param allowance requests that this daemon may lend for any window
     * @param share share of the allowance that is lent at present
     * @param borrowers number of daemons that have loans which count
     * @param largestBorrower daemon with the largest loans
     */
    public record Usage(
            CustomerName customer, double allowance, double share, int borrowers, ProcessId largestBorrower) {}

    /** Returns the use of all customers that have loans. */
    public List<Usage> usage() {
        List<Usage> usages = new ArrayList<>();
        long now = time.monotonicNanos();
        ledgers.forEach((customer, ledger) -> plans.apply(customer).ifPresent(plan -> {
            double allowance = tenure.allowance(customer, plan);
            Map<ProcessId, Double> lent = ledger.lentByBorrower(now);
            if (allowance >= 1 && !lent.isEmpty()) {
                ProcessId largest = Collections.max(lent.entrySet(), Map.Entry.comparingByValue())
                        .getKey();
                usages.add(new Usage(customer, allowance, ledger.lent(now) / allowance, lent.size(), largest));
            }
        }));
        return usages;
    }
}
