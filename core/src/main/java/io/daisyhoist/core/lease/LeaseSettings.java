package io.daisyhoist.core.lease;

import java.time.Duration;

/**
 * Timing of session leases; equal in all daemons of a deployment. Immutable.
 *
 * @param heartbeatInterval time between heartbeats to a witness
 * @param ttl time for which a witness promises not to fence a session after a heartbeat
 * @param driftMargin share of the ttl by which the owner shortens its lease, 0 to 0.5; covers the difference in rate
 *     between the owner's and the witnesses' clocks
 * @param witnesses number of witnesses of a session, odd and at least 3
 */
public record LeaseSettings(Duration heartbeatInterval, Duration ttl, double driftMargin, int witnesses) {
    /**
     * The 4 s bound for serving a key again leaves 2.1 s for the promise; three heartbeats fit into it, so one lost
     * heartbeat does not end a lease. 5% covers clocks that drift by 2% in opposite directions.
     */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(Duration.ofMillis(700), Duration.ofMillis(2100), 0.05, 3);

    /** Validates the ranges. */
    public LeaseSettings {
        if (heartbeatInterval.isNegative() || heartbeatInterval.isZero() || heartbeatInterval.compareTo(ttl) >= 0) {
            throw new IllegalArgumentException("heartbeat interval must be positive and shorter than the ttl");
        }
        if (driftMargin < 0 || driftMargin > 0.5) {
            throw new IllegalArgumentException("drift margin must be 0 to 0.5: " + driftMargin);
        }
        if (witnesses < 3 || witnesses % 2 == 0) {
            throw new IllegalArgumentException("witnesses must be odd and at least 3: " + witnesses);
        }
    }

    /** Returns how long an acknowledged heartbeat keeps the owner's lease, from the time it was sent. */
    public Duration ownerValidity() {
        return Duration.ofNanos((long) (ttl.toNanos() * (1 - driftMargin)));
    }
}
