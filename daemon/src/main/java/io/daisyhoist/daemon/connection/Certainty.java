package io.daisyhoist.daemon.connection;

/** What is known about a message whose call failed. */
public enum Certainty {
    /** No byte of the message was handed to the network. */
    NOT_SENT,
    /** The receiver may have received the message, in whole, and may have acted on it. */
    MAY_HAVE_BEEN_SENT
}
