package io.daisyhoist.core.routing;

import java.time.Duration;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;

/**
 * A backend server that may run a request, with what this daemon knows of its load. Immutable.
 *
 * @param daemon daemon beside the backend server
 * @param zone its availability zone
 * @param inFlight requests of this daemon in flight there
 * @param reportedInFlight requests in flight there according to its last load report
 * @param limit requests at once according to its last load report
 * @param reportAge time since the report
 */
public record BackendCandidate(
        DaemonId daemon, AvailabilityZone zone, int inFlight, int reportedInFlight, int limit, Duration reportAge) {}
