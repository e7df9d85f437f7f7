package io.daisyhoist.core.route;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;

/**
 * Policy for the backend servers of one service, as configured by operators. Immutable.
 *
 * @param service name of the service
 * @param keyed whether the requests of a key may run only on the backend server that holds the key
 * @param coldTime duration of the warm-up after a start
 * @param coldRequestsPerSecond maximum request rate of a cold backend server; 0 if not configured
 * @param maxConnections maximum number of connections that a backend server accepts
 */
public record ServicePolicy(
        ServiceName service, boolean keyed, Duration coldTime, double coldRequestsPerSecond, int maxConnections) {}
