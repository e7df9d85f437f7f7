package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;

/**
 * Backend server that may run a request, with its known load. Immutable.
 *
 * @param daemon daemon of the backend server
 * @param zone its availability zone
 * @param inFlight requests in flight from this daemon
 * @param reportedInFlight requests in flight from all daemons, according to its last load report
 * @param limit concurrency limit according to its last load report
 * @param reportAge age of the load report
 */
public record BackendCandidate(
        DaemonId daemon, AvailabilityZone zone, int inFlight, int reportedInFlight, int limit, Duration reportAge) {}
