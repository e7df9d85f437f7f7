package io.daisyhoist.core.error;

/** Unchecked exception that carries the kind of fault. */
public class DaisyhoistException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    public DaisyhoistException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    public DaisyhoistException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the kind of fault. */
    public ErrorCode code() {
        return code;
    }
}
