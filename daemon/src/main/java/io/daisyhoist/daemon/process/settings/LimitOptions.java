package io.daisyhoist.daemon.process.settings;

import java.time.Duration;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.route.ClientLimits;

/**
 * Limits of the client-facing HTTP server. Immutable.
 *
 * @param clients limits of requests and times
 * @param connections limits of connections
 * @param maxRequestsInFlight maximum number of client requests in flight at one daemon
 * @param shutdownGrace maximum time that a graceful shutdown waits for in-flight requests
 */
public record LimitOptions(
        ClientLimits clients, ConnectionBounds connections, int maxRequestsInFlight, Duration shutdownGrace) {}
