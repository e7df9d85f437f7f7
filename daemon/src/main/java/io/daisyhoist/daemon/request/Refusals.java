package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;

/** Factory methods for refusal responses. Stateless. */
final class Refusals {
    private Refusals() {}

    static OutboundResponse notRun(RefusalCode code, String message) {
        return refused(code, RunState.NOT_RUN, message);
    }

    static OutboundResponse unknown(RefusalCode code, String message) {
        return refused(code, RunState.UNKNOWN, message);
    }

    static OutboundResponse refused(RefusalCode code, RunState run, String message) {
        return OutboundResponse.refused(new Refusal(code, run, message, Duration.ZERO));
    }
}
