package io.daisyhoist.mesh.body;

/** Thrown when the body of a request is not accepted. */
public final class BodyRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Reason why a body is not accepted. */
    public enum Reason {
        /** It exceeds the size limit. */
        TOO_LARGE,
        /** There is no memory for it at present. */
        NO_MEMORY,
        /** The client disconnected before it had sent the body. */
        CLIENT_DISCONNECTED
    }

    private final Reason reason;

    BodyRefusedException(Reason reason) {
        super("body is not accepted: " + reason, null, false, false);
        this.reason = reason;
    }

    /** Returns the reason. */
    public Reason reason() {
        return reason;
    }
}
