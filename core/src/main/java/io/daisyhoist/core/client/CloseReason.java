package io.daisyhoist.core.client;

import java.util.Locale;

/** Why a connection of a client is closed or its request refused. */
public enum CloseReason {
    /** The request line and header fields are too long, too many, or preceded by too many empty lines. */
    HEAD_TOO_LARGE(431),
    /** The request line and header fields are not complete in time. */
    HEAD_TIMEOUT(408),
    /** The HTTP decoder cannot read the head. */
    HEAD_INVALID(400),
    /** The body exceeds its maximum size. */
    BODY_TOO_LARGE(413),
    /** The body comes slower than the minimum rate. */
    BODY_TIMEOUT(408),
    /** The body cannot be read. */
    BODY_INVALID(400),
    /** The memory of the daemon does not suffice. */
    MEMORY(503),
    /** Too many connections are open, of one address or altogether. */
    CONNECTIONS(0),
    /** The connection was not used for the idle timeout. */
    IDLE(0),
    /** The client takes no byte of its response. */
    RESPONSE_STALLED(0),
    /** The client has disconnected before its request was complete. */
    DISCONNECTED(0),
    /** A refused client has had time to read its refusal. */
    REFUSED(0);

    private final int status;

    CloseReason(int status) {
        this.status = status;
    }

    /** Returns the HTTP status for a request that is refused for this reason; zero if the connection is closed without one. */
    public int status() {
        return status;
    }

    /** Returns the name in metrics and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
