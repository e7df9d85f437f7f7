package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;

/** Thrown to end the handling of a request with a refusal. */
final class RefusedException extends DaisyhoistException {
    private static final long serialVersionUID = 1L;

    private final transient Refusal refusal;

    RefusedException(RefusalCode code, String message) {
        super(ErrorCode.USAGE, message);
        this.refusal = Refusal.of(code, message, Duration.ZERO);
    }

    Refusal refusal() {
        return refusal;
    }
}
