package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * How long this daemon may still let its backend server hold keys.
 *
 * <p>Invariant: the right ends {@link #horizon} after the sending of the last call by which the store confirmed the
 * daemon's registration. Others take over its keys only after the registration has been missing for the horizon and a
 * margin, so no hold given under the right can outlive it. Confined to one thread.
 */
public final class HoldRight {
    /** A backend server's clock may run this much slower than ours, as a share of the hold. */
    public static final double CLOCK_DRIFT = 0.03;

    /** Shorter holds would end before the next heartbeat. */
    private static final Duration MIN_HOLD = Duration.ofMillis(300);

    private final TimeSource time;
    private final Duration horizon;
    private final Duration maxHold;
    private Optional<ElapsedTimer> confirmed = Optional.empty();

    /**
     * Creates a right that has ended.
     *
     * @param horizon time from a confirmation to the end of the right
     * @param maxHold longest hold
     */
    public HoldRight(TimeSource time, Duration horizon, Duration maxHold) {
        this.time = time;
        this.horizon = horizon;
        this.maxHold = maxHold;
    }

    /** Learns that the store has confirmed the registration by a call sent at the given time. */
    public void onConfirmed(ElapsedTimer sentAt) {
        if (confirmed.isEmpty()
                || sentAt.elapsed(time).compareTo(confirmed.get().elapsed(time)) < 0) {
            confirmed = Optional.of(sentAt);
        }
    }

    /** Returns whether the store confirmed the registration by a call sent within the given time. */
    public boolean isConfirmedWithin(Duration age) {
        return confirmed
                .filter(sentAt -> sentAt.elapsed(time).compareTo(age) <= 0)
                .isPresent();
    }

    /** Returns the hold that may be given now; empty when it would be too short to be of use. */
    public Optional<Duration> hold() {
        if (confirmed.isEmpty()) {
            return Optional.empty();
        }
        Duration left = horizon.minus(confirmed.get().elapsed(time));
        long usableNanos = (long) (left.toNanos() * (1 - CLOCK_DRIFT));
        Duration hold = Duration.ofNanos(Math.min(usableNanos, maxHold.toNanos()));
        return hold.compareTo(MIN_HOLD) < 0 ? Optional.empty() : Optional.of(hold);
    }
}
