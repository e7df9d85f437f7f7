package io.daisyhoist.daemon.connection;

/** Selects one of the connections to a peer; they are separate so that bulk data does not delay other messages. */
public enum PeerChannel {
    CONTROL,
    TRAFFIC,
    /** Requests whose body is streamed. */
    UPLOAD
}
