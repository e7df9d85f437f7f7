package io.daisyhoist.daemon.process.settings;

import java.time.Duration;

/**
 * Bounds of the HTTP edge. Immutable.
 *
 * @param maxHeaderBytes largest request header block
 * @param maxBodyBytes largest request body
 * @param maxRequestsInFlight requests that one daemon accepts at once from clients
 * @param shutdownGrace how long a graceful shutdown waits for in-flight requests
 */
public record LimitOptions(int maxHeaderBytes, int maxBodyBytes, int maxRequestsInFlight, Duration shutdownGrace) {}
