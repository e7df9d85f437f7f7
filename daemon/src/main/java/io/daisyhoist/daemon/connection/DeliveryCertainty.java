package io.daisyhoist.daemon.connection;

/** Whether the message of a failed call may have been delivered. */
public enum DeliveryCertainty {
    /** No byte of the message was written to the network. */
    NOT_SENT,
    /** The receiver may have received the complete message and acted on it. */
    MAY_HAVE_BEEN_SENT
}
