package io.daisyhoist.core.error;

/** Unchecked exception with an error code for operators. */
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

    public ErrorCode code() {
        return code;
    }
}
