package io.daisyhoist.mesh.body;

import java.util.Optional;

import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * Rest of a body, of which nothing is read until it is asked for.
 *
 * <p>Invariant: each byte is returned once, in order. Implementations are confined to the traffic event loop.
 */
public interface BodyRest {
    /**
     * Completes when the rest may be read; called when the request can be written, and again for each further connection. Fails with {@link BodyAbortedException} if the
     * body will not be complete.
     */
    Future<Void> open();

    /**
     * Reads the next part; empty at the end of the body. Must not be called again before it has completed. Fails with
     * {@link BodyAbortedException} if the body will not be complete.
     */
    Future<Optional<Buffer>> read();

    /** Returns whether a part was read, or may be lost on the way to a reader. */
    boolean isStarted();
}
