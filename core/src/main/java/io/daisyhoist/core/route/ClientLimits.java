package io.daisyhoist.core.route;

import java.time.Duration;

/**
 * Limits on client requests and connections. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeout maximum time until the request line and headers are complete
 * @param idleTimeout maximum idle time of a connection
 */
public record ClientLimits(int maxHeaderBytes, long maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {
    /** Limits that apply unless the configuration sets others. */
    public static final ClientLimits DEFAULT =
            new ClientLimits(16_384, 64L << 20, Duration.ofSeconds(10), Duration.ofSeconds(60));
}
