package io.daisyhoist.core.customer;

/**
 * Limit on the requests of a customer over all daemons of a fleet together. Immutable.
 *
 * @param requestsPerSecond rate at which the quota is refilled; greater than 0
 * @param burst requests that may run in addition to the rate; not negative
 */
public record CustomerQuota(double requestsPerSecond, double burst) {
    /** Validates both figures. */
    public CustomerQuota {
        if (!(requestsPerSecond > 0) || !(burst >= 0) || Double.isInfinite(requestsPerSecond + burst)) {
            throw new IllegalArgumentException("invalid quota: " + requestsPerSecond + "/s, burst " + burst);
        }
    }
}
