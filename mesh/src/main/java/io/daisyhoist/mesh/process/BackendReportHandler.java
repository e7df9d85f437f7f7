package io.daisyhoist.mesh.process;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.keyrange.KeyHolds;

/** Takes what the backend server beside this daemon says of itself. Implementations are thread-safe. */
public interface BackendReportHandler {
    /**
     * Takes a heartbeat.
     *
     * @return what the backend server is to hold; empty when nothing is renewed
     */
    CompletableFuture<Optional<KeyHolds.Reply>> onHeartbeat(BackendHeartbeat heartbeat);

    /**
     * Takes the statement of a backend server that it leaves.
     *
     * @param backendId name of its process
     * @param startedMillis Unix time of the start of its process; empty if it was not stated
     */
    CompletableFuture<Void> onLeaving(String backendId, OptionalLong startedMillis);
}
