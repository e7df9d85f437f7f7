package io.daisyhoist.daemon.connection;

import java.util.concurrent.CompletionStage;

import io.daisyhoist.wire.proto.BodyChunk;

/** Writes the body of a call on the connection that carries the call. Thread-safe. */
@FunctionalInterface
public interface BodyChunkWriter {
    /**
     * Writes a chunk.
     *
     * @return completes when the chunk was handed to the network; fails with a {@link PeerException} if the call has ended or its
     *     connection was lost
     */
    CompletionStage<Void> write(BodyChunk chunk);
}
