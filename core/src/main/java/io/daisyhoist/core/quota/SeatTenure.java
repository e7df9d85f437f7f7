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
 * Seats that this daemon holds according to its own view of the fleet, and since when.
 *
 * <p>Another daemon, or an earlier process of this one, may have held a seat before and may still hold it in its own view.
 * A seat is therefore restricted until loans of a predecessor no longer count in any window, and while the registration of
 * this daemon is not confirmed, because others may then hold its seats. Confined to one thread.
 */
public final class SeatTenure {
    /** Time for which another daemon may take itself for the holder after this one has become it. */
    private static final Duration VIEW_LAG = Duration.ofMillis(500);

    /**
     * Time after the departure of its holder in which a seat stays restricted: a daemon that the store turns away lends for
     * this long after others may have dropped it, less the time for which it was missing in the store.
     */
    private static final long DEPARTURE_NANOS = Duration.ofMillis(3_500).toNanos();

    private static final long NEVER = Long.MIN_VALUE;

    private final DaemonId self;
    private final TimeSource time;
    private final long restrictionNanos;
    private final boolean[] held = new boolean[QuotaSeats.SEATS];
    private final long[] sinceNanos = new long[QuotaSeats.SEATS];
    private QuotaSeats seats = QuotaSeats.EMPTY;
    private final long[] lostNanos = new long[QuotaSeats.SEATS];
    private final boolean[] restrictionEnded = new boolean[QuotaSeats.SEATS];
    private final long[] claimableNanos = new long[QuotaSeats.SEATS];
    private final BooleanSupplier firstProcess;
    private final long startedNanos;
    private boolean registered;

    /**
     * Creates a tenure without seats.
     *
     * @param window sliding window in which the requests of a customer are counted
     * @param firstProcess whether this daemon certainly has no earlier process whose loans may count
     */
    public SeatTenure(DaemonId self, TimeSource time, Duration window, BooleanSupplier firstProcess) {
        this.firstProcess = firstProcess;
        this.startedNanos = time.monotonicNanos();
        Arrays.fill(lostNanos, NEVER);
        this.self = self;
        this.time = time;
        this.restrictionNanos =
                window.plus(QuotaLender.LONG_LOAN).plus(VIEW_LAG).toNanos();
    }

    /**
     * Updates the seats.
     *
     * @param current holders according to the members that this daemon knows
     * @param confirmed whether the store has confirmed this daemon's registration so recently that no other daemon may
     *     have taken it for lost
     */
    public void update(QuotaSeats current, boolean confirmed) {
        if (seats == current && registered == confirmed) {
            return;
        }
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            boolean lost =
                    held[seat] && current.holder(seat).filter(self::equals).isEmpty();
            if (lost) {
                lostNanos[seat] = time.monotonicNanos();
            }
        }
        boolean registeredAgain = confirmed && !registered;
        registered = confirmed;
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            boolean holds = current.holder(seat).filter(self::equals).isPresent();
            if (holds && (!held[seat] || registeredAgain)) {
                boolean departed = seats.holder(seat)
                        .filter(previous -> !current.isMember(previous))
                        .isPresent();
                claimableNanos[seat] = time.monotonicNanos() + (departed ? DEPARTURE_NANOS : 0);
                restrict(seat);
            }
            held[seat] = holds;
        }
        seats = current;
    }

    /** Returns the requests that this daemon may lend to a customer for any window, over all seats that it holds. */
    public double allowance(CustomerName customer, QuotaPlan plan) {
        double sum = 0;
        for (int index = 0; index < plan.seats(); index++) {
            int seat = QuotaSeats.seatOf(customer, index);
            if (held[seat]) {
                sum += isRestricted(seat) ? plan.restrictedAllowance() : plan.seatAllowance();
            }
        }
        return sum;
    }

    /** Returns the number of seats of a customer that this daemon holds. */
    int seatsOf(CustomerName customer, QuotaPlan plan) {
        int count = 0;
        for (int index = 0; index < plan.seats(); index++) {
            count += held[QuotaSeats.seatOf(customer, index)] ? 1 : 0;
        }
        return count;
    }

    /** Returns the number of seats that this daemon holds. */
    public int heldSeats() {
        int count = 0;
        for (boolean holds : held) {
            count += holds ? 1 : 0;
        }
        return count;
    }

    /** Returns whether all seats are lent without restriction. */
    public boolean isUnrestricted() {
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            if (held[seat] && isRestricted(seat)) {
                return false;
            }
        }
        return true;
    }

    private boolean isRestricted(int seat) {
        return !registered || !restrictionEnded[seat] && time.monotonicNanos() - sinceNanos[seat] < restrictionNanos;
    }

    private void restrict(int seat) {
        sinceNanos[seat] = time.monotonicNanos();
        restrictionEnded[seat] = false;
    }

    /** Returns the seats that may be lent without restriction as soon as other daemons vouch for them. */
    List<Integer> claimableSeats() {
        List<Integer> claimable = new ArrayList<>();
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            boolean claims = held[seat] && registered && isRestricted(seat);
            if (claims && knowsOwnLoans() && claimableNanos[seat] - time.monotonicNanos() <= 0) {
                claimable.add(seat);
            }
        }
        return claimable;
    }

    /** Lends a seat without restriction from now on, because no loans of others from it count. */
    void endRestriction(int seat) {
        restrictionEnded[seat] = held[seat];
    }

    /**
     * Returns whether certainly no loans of this daemon from a seat count, and restricts the seat here in case this daemon
     * does not know its new holder yet.
     *
     * @param holder daemon that has become the holder of the seat
     * @param runnerUp daemon that would hold it otherwise, according to the holder; loans of a daemon that only this one
     *     knows could not be excluded
     * @param lent whether this daemon has loans that count to customers of the seat
     */
    boolean isUnused(int seat, DaemonId holder, DaemonId runnerUp, boolean lent) {
        boolean mayHaveLent = lent && (held[seat] || hasLostRecently(seat));
        if (held[seat]) {
            restrict(seat);
        }
        boolean sameView = seats.runnersUp(seat, holder, 1).equals(List.of(runnerUp));
        return knowsOwnLoans() && sameView && !mayHaveLent;
    }

    /** Returns whether no loans of an earlier process of this daemon can count. */
    private boolean knowsOwnLoans() {
        return firstProcess.getAsBoolean() || time.monotonicNanos() - startedNanos >= restrictionNanos;
    }

    private boolean hasLostRecently(int seat) {
        return lostNanos[seat] != NEVER && time.monotonicNanos() - lostNanos[seat] < restrictionNanos;
    }
}
