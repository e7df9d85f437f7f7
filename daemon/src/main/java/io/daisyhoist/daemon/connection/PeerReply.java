package io.daisyhoist.daemon.connection;

import java.util.function.Consumer;

import io.daisyhoist.wire.proto.Envelope;

/** Sends the reply to one message, at most once, on the connection that carried the message. Thread-safe. */
public interface PeerReply extends Consumer<Envelope> {
    /** Returns whether the connection is open; a reply on a closed connection is dropped. */
    boolean isDeliverable();
}
