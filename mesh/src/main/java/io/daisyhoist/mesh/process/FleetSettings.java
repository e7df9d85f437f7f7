package io.daisyhoist.mesh.process;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * Settings of one daemon of a fleet with several services. Immutable.
 *
 * @param daemon its name
 * @param zone availability zone of its instance
 * @param service service of the backend server beside it
 * @param backend address of that backend server
 * @param clients where it accepts requests
 * @param readiness where it answers whether it is ready, and serves its metrics
 * @param backendReports where it accepts the heartbeats of its backend server
 * @param peers where it accepts other daemons
 * @param bounds bounds of the deployment
 */
public record FleetSettings(
        DaemonId daemon,
        AvailabilityZone zone,
        ServiceName service,
        Endpoint backend,
        Endpoint clients,
        Endpoint readiness,
        Endpoint backendReports,
        Endpoint peers,
        FleetBounds bounds) {}
