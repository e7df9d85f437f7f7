package io.daisyhoist.core.route;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;

/**
 * The operators' rules for the backend servers of one service. Immutable.
 *
 * @param service name of the service
 * @param keyed whether each key has one backend server that may run its requests
 * @param coldTime how long a backend server is cold after its start
 * @param coldRequestsPerSecond requests per second that a cold backend server bears; 0 when none is stated
 * @param maxConnections connections that a backend server accepts
 */
public record ServicePolicy(
        ServiceName service, boolean keyed, Duration coldTime, double coldRequestsPerSecond, int maxConnections) {}
