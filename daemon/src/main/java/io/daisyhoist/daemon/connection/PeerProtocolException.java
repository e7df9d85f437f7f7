package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** A peer violated the protocol; its connection is closed. */
final class PeerProtocolException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    PeerProtocolException(String message) {
        super(ErrorCode.INTERNAL, message);
    }
}
