package io.daisyhoist.core.quota;

import java.time.Duration;

import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.customer.CustomerQuota;

/**
 * Division of a customer's allowance among the seats that lend it.
 *
 * <p>The allowance of a window is divided by the number of seats plus one, and each seat lends one part. The part that no
 * seat has covers a seat that has two holders for a while. A lender that may have a predecessor lends a smaller part, so
 * that all seats of the customer together may be in that state. Immutable.
 *
 * @param seats number of seats that lend to the customer
 * @param seatAllowance requests that one seat may lend for any window
 * @param restrictedAllowance requests that a lender may lend for any window while another one may still hold its seat
 * @param seatRatePerSecond rate at which one seat lends when its allowance is in demand all the time
 * @param seatBurst requests that one seat lends at once
 */
public record QuotaPlan(
        int seats, double seatAllowance, double restrictedAllowance, double seatRatePerSecond, double seatBurst) {
    /** Two seats, so that the loss of one does not leave a small customer without a lender. */
    private static final int MIN_SEATS = 2;

    /** With more seats, a daemon that finds no quota would ask many lenders; with fewer, too much would be set aside. */
    private static final int MAX_SEATS = 24;

    /** A seat with a smaller part would often be short of one request while others have several left. */
    private static final double REQUESTS_PER_SEAT = 25;

    /** Part of its allowance, or number of requests if that is more, that a seat can always lend at once. */
    private static final double MIN_BURST_SHARE = 0.3;

    private static final double MIN_BURST = 10;

    /** Divides the allowance of a customer with the given quota. */
    public static QuotaPlan of(CustomerQuota quota, CustomerBounds bounds) {
        double windowSeconds = seconds(bounds.quotaWindow());
        double quotaOfWindow = quota.requestsPerSecond() * windowSeconds + quota.burst();
        double allowance = quotaOfWindow * (1 + bounds.quotaOverRatio()) + bounds.quotaSlack();
        double wantedSeats = Math.ceil(quotaOfWindow / REQUESTS_PER_SEAT) + 1;
        int seats = (int) Math.max(MIN_SEATS, Math.min(MAX_SEATS, wantedSeats));
        double seatAllowance = allowance / (seats + 1);
        double burstShare = (quota.burst() + quota.requestsPerSecond()) / quotaOfWindow;
        double burst = Math.max(MIN_BURST, seatAllowance * Math.max(MIN_BURST_SHARE, burstShare));
        return new QuotaPlan(
                seats,
                seatAllowance,
                seatAllowance / seats,
                seatAllowance / (windowSeconds + seconds(QuotaLender.SHORT_LOAN)),
                Math.min(burst, seatAllowance));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / 1e9;
    }
}
