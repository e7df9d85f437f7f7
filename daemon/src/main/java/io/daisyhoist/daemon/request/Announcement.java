package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;

/**
 * State and load that a backend server announces to its local daemon. Immutable.
 *
 * @param service service of the backend server
 * @param incarnation number that the backend server generates at each start
 * @param port HTTP port, 0 while the backend server is starting
 * @param state lifecycle state, which determines whether it accepts requests
 * @param inFlight number of requests in flight
 * @param slots number of requests that it can currently run concurrently
 * @param age time since the load was measured
 */
public record Announcement(
        ServiceName service, long incarnation, int port, State state, int inFlight, int slots, Duration age) {
    /** States of a backend server. */
    public enum State {
        STARTING,
        READY,
        LEAVING
    }
}
