package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** The platform's store did not respond to a request, or its response violated the protocol. */
public final class PlatformException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final Certainty certainty;

    PlatformException(Certainty certainty, String message) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message);
        this.certainty = certainty;
    }

    /** Returns whether the request may have reached the store. */
    public Certainty certainty() {
        return certainty;
    }
}
