package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.model.DaemonId;

/** Loads that other daemons reported in their heartbeats. Implementations are thread-safe. */
@FunctionalInterface
public interface PeerLoads {
    /**
     * Load of the local backend server of a daemon.
     *
     * @param inFlight number of requests in flight
     * @param limit concurrency limit
     * @param age time since the report was received
     */
    record Report(int inFlight, int limit, Duration age) {}

    /** Returns the last report of a daemon. */
    Optional<Report> load(DaemonId daemon);
}
