package io.daisyhoist.core.config;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * One planned backend server with its daemon. Launch scripts read it; membership itself follows announcements. Immutable.
 *
 * @param daemon id of the daemon beside the backend server
 * @param service service that the backend server runs
 * @param zone availability zone of its instance
 */
public record WorkerSettings(DaemonId daemon, ServiceName service, AvailabilityZone zone) {}
