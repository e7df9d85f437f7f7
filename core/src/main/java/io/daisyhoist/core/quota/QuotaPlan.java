package io.daisyhoist.core.quota;

import java.time.Duration;

import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerQuota;

/**
 * Division of a customer's allowance among the shards that lend it.
 *
 * <p>The allowance of a window is divided by the number of shards plus one, and each shard lends one part. The part that no
 * shard has covers a shard that has two holders for a while. A lender that may have a predecessor lends a smaller part, so
 * that all shards of the customer together may be in that state. Immutable.
 *
 * @param shards number of shards that lend to the customer
 * @param shardAllowance requests that one shard may lend for any window
 * @param restrictedAllowance requests that a lender may lend for any window while another one may still hold its shard
 * @param shardRatePerSecond rate at which one shard lends when its allowance is in demand all the time
 * @param shardBurst requests that one shard lends at once
 */
public record QuotaPlan(
        int shards, double shardAllowance, double restrictedAllowance, double shardRatePerSecond, double shardBurst) {
    /** Two shards, so that the loss of one does not leave a small customer without a lender. */
    private static final int MIN_SHARDS = 2;

    /** With more shards, a daemon that finds no quota would ask many lenders; with fewer, too much would be set aside. */
    private static final int MAX_SHARDS = 24;

    /** A shard with a smaller part would often be short of one request while others have several left. */
    private static final double REQUESTS_PER_SHARD = 25;

    /** Part of its allowance, or number of requests if that is more, that a shard can always lend at once. */
    private static final double MIN_BURST_SHARE = 0.3;

    private static final double MIN_BURST = 10;

    /** Divides the allowance of a customer with the given quota. */
    public static QuotaPlan of(CustomerQuota quota, CustomerBounds bounds) {
        double windowSeconds = seconds(bounds.quotaWindow());
        double quotaOfWindow = quota.requestsPerSecond() * windowSeconds + quota.burst();
        double allowance = quotaOfWindow * (1 + bounds.quotaOverRatio()) + bounds.quotaSlack();
        double wantedShards = Math.ceil(quotaOfWindow / REQUESTS_PER_SHARD) + 1;
        int shards = (int) Math.max(MIN_SHARDS, Math.min(MAX_SHARDS, wantedShards));
        double shardAllowance = allowance / (shards + 1);
        double burstShare = (quota.burst() + quota.requestsPerSecond()) / quotaOfWindow;
        double burst = Math.max(MIN_BURST, shardAllowance * Math.max(MIN_BURST_SHARE, burstShare));
        return new QuotaPlan(
                shards,
                shardAllowance,
                shardAllowance / shards,
                shardAllowance / (windowSeconds + seconds(QuotaLender.SHORT_LOAN)),
                Math.min(burst, shardAllowance));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
