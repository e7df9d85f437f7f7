package io.daisyhoist.mesh.process;

import java.time.Duration;

/**
 * Bounds that the deployment sets for the fleet. Immutable.
 *
 * @param stopGrace time from the request to stop to the forced end of the process
 * @param maxHold longest time for which keys may be granted
 * @param heartbeatInterval time between two heartbeats of a backend server
 * @param minLeaseTtl shortest lease of the store
 * @param retryRatio retries per request over the whole fleet
 * @param retrySlack retries in a window that are allowed without requests, over the whole fleet
 * @param retryWindow window over which retries are counted
 * @param coldRateFactor factor on the stated rate of a cold backend server that must not be exceeded
 * @param coldRateSlack requests per second above that
 */
public record FleetBounds(
        Duration stopGrace,
        Duration maxHold,
        Duration heartbeatInterval,
        Duration minLeaseTtl,
        double retryRatio,
        double retrySlack,
        Duration retryWindow,
        double coldRateFactor,
        double coldRateSlack) {}
