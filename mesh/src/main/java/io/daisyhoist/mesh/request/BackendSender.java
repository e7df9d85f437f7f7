package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.mesh.connection.BackendAnswer;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.vertx.core.Future;

/** Way of a request to a backend server. Implementations are confined to the traffic event loop. */
public interface BackendSender {
    /**
     * Sends a request to the backend server beside a daemon.
     *
     * @param queueWait longest time that it may wait for a slot there
     * @param cancelled completes when nobody waits for the answer any more
     */
    Future<BackendAnswer> send(
            FleetMember member, BackendRequestData request, Duration queueWait, Future<Void> cancelled);
}
