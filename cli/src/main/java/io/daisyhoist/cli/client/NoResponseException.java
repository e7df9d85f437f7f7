package io.daisyhoist.cli.client;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** Thrown when a call gets no usable response, so that its effect is unknown. */
public class NoResponseException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final boolean maybeSent;

    /** Creates the exception for a call with an unusable response. */
    public NoResponseException(String message) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message);
        this.maybeSent = true;
    }

    /** Creates the exception for a call without a response. */
    public NoResponseException(String message, boolean maybeSent, Throwable cause) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message, cause);
        this.maybeSent = maybeSent;
    }

    /** Returns whether the call may have reached the server. */
    public boolean maybeSent() {
        return maybeSent;
    }
}
