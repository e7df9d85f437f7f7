package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.vertx.core.Future;

/** Sends requests to backend servers. Implementations are confined to the traffic event loop. */
public interface BackendSender {
    /**
     * Sends a request to the backend server of a member.
     *
     * @param queueWait maximum time in its admission queue
     * @param cancelled completes when the caller no longer needs the response
     */
    Future<BackendOutcome> send(
            FleetMember member, BackendRequestData request, Duration queueWait, Future<Void> cancelled);
}
