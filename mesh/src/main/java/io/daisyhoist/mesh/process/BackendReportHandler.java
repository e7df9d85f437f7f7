package io.daisyhoist.mesh.process;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.keyrange.KeyLeases;

/** Handles heartbeats and leave notifications of the local backend server. Implementations are thread-safe. */
public interface BackendReportHandler {
    /**
     * Handles a heartbeat.
     *
     * @return completes when the shutdown that the heartbeat may announce is in the store, with the key ranges that the backend
     *     server has to hold; empty when no key lease is renewed
     */
    CompletableFuture<Optional<KeyLeases.Reply>> onHeartbeat(BackendHeartbeat heartbeat);

    /**
     * Handles the notification that a backend server is leaving.
     *
     * @param backendId id of its process
     * @param startedMillis Unix start time of its process; empty if the notification does not contain it
     * @return completes when the notification is in the store; fails with an IllegalArgumentException if it does not identify
     *     a process
     */
    CompletableFuture<Void> onLeaving(String backendId, OptionalLong startedMillis);
}
