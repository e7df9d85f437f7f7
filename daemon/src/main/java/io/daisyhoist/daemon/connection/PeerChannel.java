package io.daisyhoist.daemon.connection;

/** Which of the two connections to a peer carries a message; bulk data must not delay a heartbeat. */
public enum PeerChannel {
    CONTROL,
    TRAFFIC
}
