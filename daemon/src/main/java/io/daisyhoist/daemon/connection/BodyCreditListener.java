package io.daisyhoist.daemon.connection;

/** Receives the credit that a peer grants for the body of a call. */
@FunctionalInterface
public interface BodyCreditListener {
    /**
     * Called on the event loop of the connection.
     *
     * @param bytes further bytes of the body that the peer accepts
     * @param writer writes the body on the connection of the call
     */
    void onCredit(long bytes, BodyChunkWriter writer);
}
