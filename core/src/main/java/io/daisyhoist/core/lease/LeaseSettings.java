package io.daisyhoist.core.lease;

import java.time.Duration;

/**
 * Timing of session leases, identical in all daemons of a deployment. Immutable.
 *
 * @param heartbeatInterval time between heartbeats to a witness
 * @param ttl time for which a witness promises not to fence a session after a heartbeat
 * @param driftMargin fraction of the TTL by which the owner shortens its lease, 0 to 0.5; covers the clock drift
 *     between the owner and the witnesses
 * @param witnesses number of witnesses per session, odd and at least 3
 */
public record LeaseSettings(Duration heartbeatInterval, Duration ttl, double driftMargin, int witnesses) {
    /**
     * The maximum failover time of 4 s allows a TTL of 2.1 s. It covers three heartbeat intervals, so a single lost
     * heartbeat does not end a lease. The drift margin of 5% covers clocks that drift by 2% in opposite directions.
     */
    public static final LeaseSettings DEFAULT =
            new LeaseSettings(Duration.ofMillis(700), Duration.ofMillis(2100), 0.05, 3);

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

    /** Returns the validity of the owner's lease, from the sending of an acknowledged heartbeat. */
    public Duration ownerValidity() {
        return Duration.ofNanos((long) (ttl.toNanos() * (1 - driftMargin)));
    }
}
