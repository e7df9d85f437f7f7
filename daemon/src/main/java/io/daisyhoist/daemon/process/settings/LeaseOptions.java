package io.daisyhoist.daemon.process.settings;

import java.time.Duration;

/**
 * Lease durations and number of witnesses; all daemons of a cluster must use the same values. Immutable.
 *
 * @param heartbeatInterval interval between heartbeats to each witness
 * @param leaseTtl validity of a lease after an acknowledged heartbeat
 * @param witnesses number of witnesses of each member, 3 or 5
 */
public record LeaseOptions(Duration heartbeatInterval, Duration leaseTtl, int witnesses) {}
