package io.daisyhoist.cli.client;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** A call that got no usable answer, so that its effect is not known. */
public class UnansweredCallException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /** Creates the exception of a call whose answer is of no use. */
    public UnansweredCallException(String message) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message);
        this.sent = true;
    }

    /** Creates the exception of a call without an answer. */
    public UnansweredCallException(String message, boolean sent, Throwable cause) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message, cause);
        this.sent = sent;
    }

    /** Returns whether the call may have reached the peer. */
    public boolean wasSent() {
        return sent;
    }
}
