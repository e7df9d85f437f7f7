package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Lease under which this daemon grants keys to its backend server.
 *
 * <p>Invariant: the lease expires {@link #validity} after the daemon sent the latest call by which the store confirmed
 * its registration. Other daemons take over its keys only after the registration has been missing for this validity and
 * a margin, so no key lease granted under this lease can outlive it. Confined to one
 * thread, except for the methods that only read, which any thread may call.
 */
public final class RegistrationLease {
    /** Largest fraction by which the clock of a backend server may run slower than the daemon's clock. */
    public static final double MAX_CLOCK_DRIFT = 0.03;

    /** A shorter key lease would expire before the next heartbeat. */
    private static final Duration MIN_KEY_LEASE = Duration.ofMillis(300);

    private final TimeSource time;
    private final Duration validity;
    private final Duration maxKeyLease;
    private volatile Optional<ElapsedTimer> lastConfirmedCall = Optional.empty();

    /**
     * Creates an expired lease.
     *
     * @param validity time from the sending of a confirmed call to the expiry of the lease
     * @param maxKeyLease longest key lease
     */
    public RegistrationLease(TimeSource time, Duration validity, Duration maxKeyLease) {
        this.time = time;
        this.validity = validity;
        this.maxKeyLease = maxKeyLease;
    }

    /** Records that the store has confirmed the registration by a call sent at the given time. */
    public void onConfirmed(ElapsedTimer sentAt) {
        if (lastConfirmedCall.isEmpty()
                || sentAt.elapsed(time).compareTo(lastConfirmedCall.get().elapsed(time)) < 0) {
            lastConfirmedCall = Optional.of(sentAt);
        }
    }

    /** Returns whether the store confirmed the registration by a call sent within the given time. */
    public boolean isConfirmedWithin(Duration age) {
        return confirmationAge().filter(known -> known.compareTo(age) <= 0).isPresent();
    }

    /** Returns the time since the last call that confirmed the registration was sent; empty before the first one. */
    public Optional<Duration> confirmationAge() {
        return lastConfirmedCall.map(sentAt -> sentAt.elapsed(time));
    }

    /** Returns the key lease that may be granted now; empty if it would expire before the next heartbeat. */
    public Optional<Duration> grantableLease() {
        if (lastConfirmedCall.isEmpty()) {
            return Optional.empty();
        }
        Duration remaining = validity.minus(lastConfirmedCall.get().elapsed(time));
        long usableNanos = (long) (remaining.toNanos() * (1 - MAX_CLOCK_DRIFT));
        Duration keyLease = Duration.ofNanos(Math.min(usableNanos, maxKeyLease.toNanos()));
        return keyLease.compareTo(MIN_KEY_LEASE) < 0 ? Optional.empty() : Optional.of(keyLease);
    }
}
