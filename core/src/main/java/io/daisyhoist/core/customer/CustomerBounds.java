package io.daisyhoist.core.customer;

import java.time.Duration;
import java.util.Optional;

/**
 * Limits that a deployment sets for the keys and quotas of customers. Immutable.
 *
 * @param revocationDelay time after which a key that was taken away must not admit requests on any daemon, counted from
 *     the acknowledgement of the configuration; empty if there is no such limit
 * @param quotaWindow sliding window in which the requests of a customer are counted
 * @param quotaOverRatio part of the quota by which it may be exceeded in a window
 * @param quotaSlack requests by which it may be exceeded in addition
 */
public record CustomerBounds(
        Optional<Duration> revocationDelay, Duration quotaWindow, double quotaOverRatio, double quotaSlack) {
    /** Bounds of a deployment that sets none. */
    public static final CustomerBounds DEFAULT = new CustomerBounds(Optional.empty(), Duration.ofSeconds(5), 0.1, 20);
}
