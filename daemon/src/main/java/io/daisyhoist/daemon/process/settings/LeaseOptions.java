package io.daisyhoist.daemon.process.settings;

import java.time.Duration;

/**
 * Times and witnesses of leases; every daemon of a cluster must use the same values. Immutable.
 *
 * @param heartbeat interval between heartbeats to each witness
 * @param leaseTtl how long an acknowledged heartbeat keeps a lease alive
 * @param witnesses witnesses of each member, 3 or 5
 */
public record LeaseOptions(Duration heartbeat, Duration leaseTtl, int witnesses) {}
