package io.daisyhoist.core.quota;

import java.time.Duration;
import java.util.ArrayList;
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

    /** Time in which the next holder of a lost seat asks about it. */
    private static final long RECENT_LOSS_NANOS = Duration.ofSeconds(2).toNanos();

    private final DaemonId self;
    private final TimeSource time;
    private final long restrictionNanos;
    private final boolean[] held = new boolean[QuotaSeats.SEATS];
    private final long[] sinceNanos = new long[QuotaSeats.SEATS];
    private QuotaSeats seats = QuotaSeats.EMPTY;
    private final long[] lostNanos = new long[QuotaSeats.SEATS];
    private final boolean[] restrictionEnded = new boolean[QuotaSeats.SEATS];
    private final boolean[] lostUnrestricted = new boolean[QuotaSeats.SEATS];
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
                lostUnrestricted[seat] = !isRestricted(seat);
                lostNanos[seat] = time.monotonicNanos();
            }
        }
        boolean registeredAgain = confirmed && !registered;
        seats = current;
        registered = confirmed;
        for (int seat = 0; seat < QuotaSeats.SEATS; seat++) {
            boolean holds = current.holder(seat).filter(self::equals).isPresent();
            if (holds && (!held[seat] || registeredAgain)) {
                restrict(seat);
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
            if (held[seat] && registered && isRestricted(seat) && firstProcess.getAsBoolean()) {
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
     * Vouches for a seat that another daemon has become the holder of, and restricts it here in case this daemon does not
     * know that daemon yet.
     *
     * @param lent whether loans of this daemon from the seat may count
     */
    SeatVouch vouch(int seat, boolean lent) {
        boolean heldAlone = held[seat] ? !isRestricted(seat) : lostUnrestricted[seat] && hasLostRecently(seat);
        if (held[seat]) {
            restrict(seat);
        }
        if (lent) {
            return SeatVouch.UNKNOWN;
        }
        if (heldAlone) {
            return SeatVouch.UNUSED;
        }
        boolean started = time.monotonicNanos() - startedNanos < restrictionNanos;
        return started && firstProcess.getAsBoolean() ? SeatVouch.NEW : SeatVouch.UNKNOWN;
    }

    private boolean hasLostRecently(int seat) {
        return time.monotonicNanos() - lostNanos[seat] < RECENT_LOSS_NANOS;
    }
}
