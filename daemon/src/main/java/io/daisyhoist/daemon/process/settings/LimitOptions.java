package io.daisyhoist.daemon.process.settings;

import java.time.Duration;

/**
 * Limits of the client-facing HTTP server. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request headers
 * @param maxBodyBytes maximum size of a request body
 * @param maxRequestsInFlight maximum number of client requests in flight at one daemon
 * @param shutdownGrace maximum time that a graceful shutdown waits for in-flight requests
 */
public record LimitOptions(int maxHeaderBytes, int maxBodyBytes, int maxRequestsInFlight, Duration shutdownGrace) {}
