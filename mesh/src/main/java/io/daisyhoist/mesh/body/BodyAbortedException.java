package io.daisyhoist.mesh.body;

/** Thrown when the rest of a body cannot be read, so that the request cannot be completed. */
public final class BodyAbortedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception without a stack trace, since it is expected. */
    public BodyAbortedException(String message) {
        super(message, null, false, false);
    }
}
