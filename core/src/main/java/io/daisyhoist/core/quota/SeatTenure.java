package io.daisyhoist.core.quota;

import java.time.Duration;

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

    private final DaemonId self;
    private final TimeSource time;
    private final long restrictionNanos;
    private final boolean[] held = new boolean[QuotaSeats.SEATS];
    private final long[] sinceNanos = new long[QuotaSeats.SEATS];
    private QuotaSeats seats = QuotaSeats.EMPTY;
    private boolean registered;

    /**
     * Creates a tenure without seats.
     *
     * @param window sliding window in which the requests of a customer are counted
     */
    public SeatTenure(DaemonId self, TimeSource time, Duration window) {
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
        boolean registeredAgain = confirmed && !registered;
        seats = current;
        registered = confirmed;
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            boolean holds = current.holder(seat).filter(self::equals).isPresent();
            if (holds && (!held[seat] || registeredAgain)) {
                sinceNanos[seat] = time.monotonicNanos();
            }
            held[seat] = holds;
        }
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
        return !registered || time.monotonicNanos() - sinceNanos[seat] < restrictionNanos;
    }
}
