package io.daisyhoist.core.route;

import java.time.Duration;

/**
 * Bounds on what a client may send. Immutable.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 * @param headerTimeout longest time for sending the head
 * @param idleTimeout longest idle time of a connection
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Bounds in force while no configuration states others. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16_384, 64L << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
