package io.daisyhoist.daemon.connection;

import java.util.function.Consumer;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;

/**
 * Receives the messages of other daemons.
 *
 * <p>Called on a connection's event loop, in order per connection; must not block.
 */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * <p>{@code CancelRequest.cancelled_request_id} refers to an earlier request of the same process: a process uses each
     * number once, over all its connections.
     *
     * @param from process that sent the message, as stated in its {@code Hello}
     * @param message the message; a reply is expected when its request id is not 0
     * @param reply sends the reply from any thread, at most once; the request id is filled in, and the reply is dropped
     *     when the connection is gone
     */
    void handle(ProcessId from, Envelope message, Consumer<Envelope> reply);
}
