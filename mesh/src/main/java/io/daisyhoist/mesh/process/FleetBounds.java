package io.daisyhoist.mesh.process;

import java.time.Duration;

import io.daisyhoist.core.customer.CustomerBounds;

/**
 * Limits that the deployment sets for the fleet. Immutable.
 *
 * @param stopGrace time between a stop request and the forced termination of the process
 * @param maxKeyLease maximum duration of a key lease
 * @param heartbeatInterval heartbeat interval of backend servers
 * @param minLeaseTtl minimum lease duration of the store
 * @param retryRatio maximum retries per request, over the whole fleet
 * @param retrySlack retries per window that are allowed in addition to the ratio, over the whole fleet
 * @param retryWindow time window in which retries are counted
 * @param coldRateFactor factor by which the configured request rate of a cold backend server may be exceeded
 * @param coldRateSlack requests per second that are allowed in addition to that
 * @param customers limits for the keys and quotas of customers
 */
public record FleetBounds(
        Duration stopGrace,
        Duration maxKeyLease,
        Duration heartbeatInterval,
        Duration minLeaseTtl,
        double retryRatio,
        double retrySlack,
        Duration retryWindow,
        double coldRateFactor,
        double coldRateSlack,
        CustomerBounds customers) {}
