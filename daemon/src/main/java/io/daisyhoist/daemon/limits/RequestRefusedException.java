package io.daisyhoist.daemon.limits;

import io.daisyhoist.core.client.CloseReason;

/** A request was refused before its body was complete; it has not run. */
public final class RequestRefusedException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final CloseReason reason;

    /** Creates the failure of a body that is not accepted. */
    public RequestRefusedException(CloseReason reason) {
        super("request refused: " + reason.label(), null, false, false);
        this.reason = reason;
    }

    /** Returns why the request was refused. */
    public CloseReason reason() {
        return reason;
    }
}
