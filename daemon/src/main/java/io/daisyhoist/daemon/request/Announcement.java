package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.model.ServiceName;

/**
 * What a backend server says about itself. Immutable.
 *
 * @param service its service
 * @param incarnation number that it draws at each start
 * @param port its HTTP port, 0 while it is starting
 * @param state whether it takes requests
 * @param inFlight requests that it runs
 * @param slots requests that it can run at once now
 * @param age time since it measured its load
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
