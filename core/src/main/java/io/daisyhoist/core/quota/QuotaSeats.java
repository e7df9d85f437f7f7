package io.daisyhoist.core.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.customer.CustomerName;
import io.daisyhoist.core.model.DaemonId;

/**
 * Daemons that hold the lending seats of a fleet, by rendezvous hashing over its members.
 *
 * <p>The number of seats is fixed, so that a daemon asks a bounded number of others whatever the size of the fleet and the
 * number of customers. A customer has consecutive seats. Daemons with the same members compute the same holders; a joining or
 * departing daemon changes the holders of its own seats only. Immutable.
 */
public final class QuotaSeats {
    /** Number of seats of a fleet. */
    public static final int SEATS = 64;

    /** Seats of a fleet without members. */
    public static final QuotaSeats EMPTY = new QuotaSeats(List.of());

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final List<DaemonId> members;
    private final List<DaemonId> holders = new ArrayList<>(SEATS);

    /** Assigns all seats to the given members. */
    public QuotaSeats(Collection<DaemonId> members) {
        this.members = List.copyOf(members);
        for (int seat = 0; seat < SEATS && !members.isEmpty(); seat++) {
            holders.add(holder(seat, members));
        }
    }

    private static DaemonId holder(int seat, Collection<DaemonId> members) {
        DaemonId best = null;
        long bestWeight = 0;
        for (DaemonId member : members) {
            long weight = weight(seat, member);
            boolean better = best == null || weight > bestWeight || weight == bestWeight && member.compareTo(best) < 0;
            if (better) {
                best = member;
                bestWeight = weight;
            }
        }
        return best;
    }

    private static long weight(int seat, DaemonId member) {
        return mix(hash(member.name()) + seat * FNV_PRIME);
    }

    /** Returns the daemons, at most the given number, that would hold a seat next if others were not members. */
    List<DaemonId> runnersUp(int seat, DaemonId holder, int count) {
        return members.stream()
                .filter(member -> !member.equals(holder))
                .sorted(Comparator.comparingLong((DaemonId member) -> weight(seat, member))
                        .reversed())
                .limit(count)
                .toList();
    }

    /** Returns whether a daemon is a member. */
    boolean isMember(DaemonId daemon) {
        return members.contains(daemon);
    }

    /** Returns the holder of a seat; empty if the fleet has no members. */
    public Optional<DaemonId> holder(int seat) {
        return holders.isEmpty() ? Optional.empty() : Optional.of(holders.get(seat));
    }

    /**
     * Returns the number of a seat of a customer.
     *
     * @param index index among the seats of the customer, from 0
     */
    public static int seatOf(CustomerName customer, int index) {
        return (int) Math.floorMod(mix(hash(customer.name())) + index, (long) SEATS);
    }

    /** Returns whether a seat is one of those of a customer. */
    static boolean isSeatOf(CustomerName customer, int seats, int seat) {
        return Math.floorMod(seat - seatOf(customer, 0), SEATS) < seats;
    }

    /** Returns the index of the seat that a daemon asks first, which spreads the daemons over the seats. */
    static int firstIndex(CustomerName customer, DaemonId daemon, int seats) {
        return (int) Math.floorMod(mix(hash(customer.name()) ^ mix(hash(daemon.name()))), (long) seats);
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
