package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.model.DaemonId;

/** Loads that other daemons reported with their heartbeats. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerLoads {
    /**
     * Load of the backend server beside a daemon.
     *
     * @param inFlight requests in flight
     * @param limit requests at once
     * @param age time since the report arrived
     */
    record Report(int inFlight, int limit, Duration age) {}

    /** Returns the last report of a daemon. */
    Optional<Report> load(DaemonId daemon);
}
