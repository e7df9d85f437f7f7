package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** The platform's store did not respond to a request, or its response violated the protocol. */
public final class PlatformException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final DeliveryCertainty certainty;

    PlatformException(DeliveryCertainty certainty, String message) {
        super(ErrorCode.PLATFORM_UNREACHABLE, message);
        this.certainty = certainty;
    }

    /** Returns whether the request may have reached the store. */
    public DeliveryCertainty certainty() {
        return certainty;
    }
}
