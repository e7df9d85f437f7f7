package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Thrown when a call to another daemon fails. */
public final class PeerException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    /** Reasons why a call failed. */
    public enum Reason {
        CONNECT_FAILED,
        BACKOFF,
        TOO_MANY_PENDING,
        CONGESTED,
        TOO_LARGE,
        CONNECTION_LOST,
        TIMEOUT,
        CLOSED
    }

    private final Reason reason;
    private final DeliveryCertainty certainty;

    PeerException(Reason reason, DeliveryCertainty certainty, String message) {
        super(
                certainty == DeliveryCertainty.NOT_SENT ? ErrorCode.INTERNAL : ErrorCode.OUTCOME_UNKNOWN,
                reason + ": " + message);
        this.reason = reason;
        this.certainty = certainty;
    }

    /** Returns the reason of the failure. */
    public Reason reason() {
        return reason;
    }

    /** Returns whether the peer may have received the message. */
    public DeliveryCertainty certainty() {
        return certainty;
    }
}
