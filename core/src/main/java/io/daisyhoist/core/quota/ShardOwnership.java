package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Shards that this daemon holds according to its own view of the fleet, and since when.
 *
 * <p>Another daemon, or an earlier process of this one, may have held a shard before and may still hold it in its own view.
 * A shard is therefore restricted until loans of a predecessor no longer count in any window, and while the registration of
 * this daemon is not confirmed, because others may then hold its shards. Confined to one thread.
 */
public final class ShardOwnership {
    /** Time for which another daemon may take itself for the holder after this one has become it. */
    private static final Duration VIEW_LAG = Duration.ofMillis(500);

    /**
     * Time after the departure of its holder in which a shard stays restricted: a daemon that the store turns away lends for
     * this long after others may have dropped it, less the time for which it was missing in the store.
     */
    private static final long DEPARTURE_NANOS = Duration.ofMillis(3_500).toNanos();

    private static final long NEVER = Long.MIN_VALUE;

    private final DaemonId self;
    private final TimeSource time;
    private final long restrictionNanos;
    private final boolean[] held = new boolean[QuotaShards.SHARDS];
    private final long[] sinceNanos = new long[QuotaShards.SHARDS];
    private QuotaShards shards = QuotaShards.EMPTY;
    private final long[] lostNanos = new long[QuotaShards.SHARDS];
    private final boolean[] restrictionEnded = new boolean[QuotaShards.SHARDS];
    private final long[] claimableNanos = new long[QuotaShards.SHARDS];
    private final BooleanSupplier firstProcess;
    private final long startedNanos;
    private boolean registered;

    /**
     * Creates a tenure without shards.
     *
     * @param window sliding window in which the requests of a customer are counted
     * @param firstProcess whether this daemon certainly has no earlier process whose loans may count
     */
    public ShardOwnership(DaemonId self, TimeSource time, Duration window, BooleanSupplier firstProcess) {
        this.firstProcess = firstProcess;
        this.startedNanos = time.monotonicNanos();
        Arrays.fill(lostNanos, NEVER);
        this.self = self;
        this.time = time;
        this.restrictionNanos =
                window.plus(QuotaLender.LONG_LOAN).plus(VIEW_LAG).toNanos();
    }

    /**
     * Updates the shards.
     *
     * @param current holders according to the members that this daemon knows
     * @param confirmed whether the store has confirmed this daemon's registration so recently that no other daemon may
     *     have taken it for lost
     */
    public void update(QuotaShards current, boolean confirmed) {
        if (shards == current && registered == confirmed) {
            return;
        }
        for (int shard = 0; shard < QuotaShards.SHARDS; shard++) {
            boolean lost =
                    held[shard] && current.holder(shard).filter(self::equals).isEmpty();
            if (lost) {
                lostNanos[shard] = time.monotonicNanos();
            }
        }
        boolean registeredAgain = confirmed && !registered;
        registered = confirmed;
        for (int shard = 0; shard < QuotaShards.SHARDS; shard++) {
            boolean holds = current.holder(shard).filter(self::equals).isPresent();
            if (holds && (!held[shard] || registeredAgain)) {
                boolean departed = shards.holder(shard)
                        .filter(previous -> !current.isMember(previous))
                        .isPresent();
                claimableNanos[shard] = time.monotonicNanos() + (departed ? DEPARTURE_NANOS : 0);
                restrict(shard);
            }
            held[shard] = holds;
        }
        shards = current;
    }

    /** Returns the requests that this daemon may lend to a customer for any window, over all shards that it holds. */
    public double allowance(CustomerName customer, QuotaPlan plan) {
        double sum = 0;
        for (int index = 0; index < plan.shards(); index++) {
            int shard = QuotaShards.shardOf(customer, index);
            if (held[shard]) {
                sum += isRestricted(shard) ? plan.restrictedAllowance() : plan.shardAllowance();
            }
        }
        return sum;
    }

    /** Returns the number of shards of a customer that this daemon holds. */
    int shardsOf(CustomerName customer, QuotaPlan plan) {
        int count = 0;
        for (int index = 0; index < plan.shards(); index++) {
            count += held[QuotaShards.shardOf(customer, index)] ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of shards that this daemon holds. */
    public int heldShards() {
        int count = 0;
        for (boolean holds : held) {
            count += holds ? 1 : 0;
        }
        return count;
    }

    /** Returns whether all shards are lent without restriction. */
    public boolean isUnrestricted() {
        for (int shard = 0; shard < QuotaShards.SHARDS; shard++) {
            if (held[shard] && isRestricted(shard)) {
                return false;
            }
        }
        return true;
    }

    private boolean isRestricted(int shard) {
        return !registered || !restrictionEnded[shard] && time.monotonicNanos() - sinceNanos[shard] < restrictionNanos;
    }

    private void restrict(int shard) {
        sinceNanos[shard] = time.monotonicNanos();
        restrictionEnded[shard] = false;
    }

    /** Returns the shards that may be lent without restriction as soon as other daemons vouch for them. */
    List<Integer> claimableShards() {
        List<Integer> claimable = new ArrayList<>();
        for (int shard = 0; shard < QuotaShards.SHARDS; shard++) {
            boolean claims = held[shard] && registered && isRestricted(shard);
            if (claims && knowsOwnLoans() && claimableNanos[shard] - time.monotonicNanos() <= 0) {
                claimable.add(shard);
            }
        }
        return claimable;
    }

    /** Lends a shard without restriction from now on, because no loans of others from it count. */
    void endRestriction(int shard) {
        restrictionEnded[shard] = held[shard];
    }

    /**
     * Returns whether certainly no loans of this daemon from a shard count, and restricts the shard here in case this daemon
     * does not know its new holder yet.
     *
     * @param holder daemon that has become the holder of the shard
     * @param runnerUp daemon that would hold it otherwise, according to the holder; loans of a daemon that only this one
     *     knows could not be excluded
     * @param lent whether this daemon has loans that count to customers of the shard
     */
    boolean isUnused(int shard, DaemonId holder, DaemonId runnerUp, boolean lent) {
        boolean mayHaveLent = lent && (held[shard] || hasLostRecently(shard));
        if (held[shard]) {
            restrict(shard);
        }
        boolean sameView = shards.nextOwners(shard, holder, 1).equals(List.of(runnerUp));
        return knowsOwnLoans() && sameView && !mayHaveLent;
    }

    /** Returns whether no loans of an earlier process of this daemon can count. */
    private boolean knowsOwnLoans() {
        return firstProcess.getAsBoolean() || time.monotonicNanos() - startedNanos >= restrictionNanos;
    }

    private boolean hasLostRecently(int shard) {
        return lostNanos[shard] != NEVER && time.monotonicNanos() - lostNanos[shard] < restrictionNanos;
    }
}
