package io.daisyhoist.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;

/**
 * Daemons that hold the lending shards of a fleet, by rendezvous hashing over its members.
 *
 * <p>The number of shards is fixed, so that a daemon asks a bounded number of others whatever the size of the fleet and the
 * number of customers. A customer has consecutive shards. Daemons with the same members compute the same holders; a joining or
 * departing daemon changes the holders of its own shards only. Immutable.
 */
public final class QuotaShards {
    /** Number of shards of a fleet. */
    public static final int SHARDS = 64;

    /** Shards of a fleet without members. */
    public static final QuotaShards EMPTY = new QuotaShards(List.of());

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<DaemonId> members;
    private final List<DaemonId> holders = new ArrayList<>(SHARDS);

    /** Assigns all shards to the given members. */
    public QuotaShards(Collection<DaemonId> members) {
        this.members = List.copyOf(members);
        for (int shard = 0; shard < SHARDS && !members.isEmpty(); shard++) {
            holders.add(holder(shard, members));
        }
    }

    private static DaemonId holder(int shard, Collection<DaemonId> members) {
        DaemonId best = null;
        long bestWeight = 0;
        for (DaemonId member : members) {
            long weight = weight(shard, member);
            boolean better = best == null || weight > bestWeight || weight == bestWeight && member.compareTo(best) < 0;
            if (better) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static long weight(int shard, DaemonId member) {
        return mix(hash(member.name()) + shard * FNV_PRIME);
    }

    /** Returns the daemons, at most the given number, that would hold a shard next if others were not members. */
    List<DaemonId> nextOwners(int shard, DaemonId holder, int count) {
        return members.stream()
                .filter(member -> !member.equals(holder))
                .sorted(Comparator.comparingLong((DaemonId member) -> weight(shard, member))
                        .reversed())
                .limit(count)
                .toList();
    }

    /** Returns whether a daemon is a member. */
    boolean isMember(DaemonId daemon) {
        return members.contains(daemon);
    }

    /** Returns the holder of a shard; empty if the fleet has no members. */
    public Optional<DaemonId> holder(int shard) {
        return holders.isEmpty() ? Optional.empty() : Optional.of(holders.get(shard));
    }

    /**
     * Returns the number of a shard of a customer.
     *
     * @param index index among the shards of the customer, from 0
     */
    public static int shardOf(CustomerName customer, int index) {
        return (int) Math.floorMod(mix(hash(customer.name())) + index, (long) SHARDS);
    }

    /** Returns whether a shard is one of those of a customer. */
    static boolean isShardOf(CustomerName customer, int shards, int shard) {
        return Math.floorMod(shard - shardOf(customer, 0), SHARDS) < shards;
    }

    /** Returns the index of the shard that a daemon asks first, which spreads the daemons over the shards. */
    static int firstIndex(CustomerName customer, DaemonId daemon, int shards) {
        return (int) Math.floorMod(mix(hash(customer.name()) ^ mix(hash(daemon.name()))), (long) shards);
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer that spreads similar names over all values. */
    private static long mix(long value) {
        long mixed = value;
        mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
