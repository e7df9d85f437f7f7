package io.daisyhoist.daemon.connection;

import java.util.function.Consumer;

import io.daisyhoist.wire.proto.Envelope;

/** Sends the reply to one message, at most once, and messages that precede it, on the connection that carried the message. Thread-safe. */
public interface PeerReply extends Consumer<Envelope> {
    /**
     * Sends a message with the number of the request that is not its reply; it is dropped once the reply was sent.
     *
     * @throws UnsupportedOperationException if this kind of reply cannot be preceded by other messages
     */
    default void sendBeforeReply(Envelope message) {
        throw new UnsupportedOperationException("only the reply can be sent");
    }

    /**
     * Keeps the memory of the message reserved after its handler has returned, because the message waits for another thread.
     *
     * @return to be run once, when the message is no longer held or its memory is accounted for otherwise
     */
    default Runnable keepMemoryReserved() {
        return () -> {};
    }

    /** Returns whether the connection is open; a reply on a closed connection is dropped. */
    boolean isDeliverable();
}
