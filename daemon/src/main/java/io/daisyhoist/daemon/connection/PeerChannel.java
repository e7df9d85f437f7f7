package io.daisyhoist.daemon.connection;

/** Selects one of the two connections to a peer; they are separate so that bulk data does not delay heartbeats. */
public enum PeerChannel {
    CONTROL,
    TRAFFIC
}
