package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;

/**
 * Handles the messages of other daemons.
 *
 * <p>Called on a connection's event loop, in order per connection; must not block.
 */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles one message.
     *
     * <p>{@code CancelRequest.cancelled_request_id} refers to an earlier request of the same process: a process uses
     * each request id once, across all its connections.
     *
     * @param from process that sent the message, as identified by its {@code Hello}
     * @param message the message; a reply is expected if its request id is not 0
     * @param reply sends the reply from any thread, at most once; the request id is set automatically, and the reply is
     *     dropped if the connection is closed
     */
    void handle(ProcessId from, Envelope message, PeerReply reply);

    /**
     * Handles the end of a connection, after its last message.
     *
     * <p>Replies to messages of the connection are no longer deliverable. The process may have other open connections.
     *
     * @param from process that opened the connection
     */
    default void onDisconnected(ProcessId from) {}
}
