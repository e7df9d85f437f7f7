package io.daisyhoist.mesh.process;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;

/**
 * Settings of one daemon of a fleet with several services. Immutable.
 *
 * @param daemon id of the daemon
 * @param zone availability zone of its instance
 * @param service service of the local backend server
 * @param backendAddress address of the local backend server
 * @param clientAddress listen address for client requests
 * @param readinessAddress listen address for readiness checks and metrics
 * @param heartbeatAddress listen address for heartbeats of the local backend server
 * @param peerAddress listen address for other daemons
 * @param bounds limits of the deployment
 * @param connections limits on connections of clients
 */
public record FleetSettings(
        DaemonId daemon,
        AvailabilityZone zone,
        ServiceName service,
        Endpoint backendAddress,
        Endpoint clientAddress,
        Endpoint readinessAddress,
        Endpoint heartbeatAddress,
        Endpoint peerAddress,
        FleetBounds bounds,
        ConnectionBounds connections) {}
