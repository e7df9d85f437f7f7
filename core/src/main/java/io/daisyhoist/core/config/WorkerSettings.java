package io.daisyhoist.core.config;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Planned backend server and its daemon. Used by launch scripts only; membership is determined by announcements.
 * Immutable.
 *
 * @param daemon id of the daemon beside the backend server
 * @param service service that the backend server runs
 * @param zone availability zone of the instance
 */
public record WorkerSettings(DaemonId daemon, ServiceName service, AvailabilityZone zone) {}
