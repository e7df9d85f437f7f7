package io.daisyhoist.core.error;

import java.time.Duration;

/**
 * Refusal of a request. Immutable.
 *
 * @param code reason of the refusal
 * @param runState whether the request ran; {@link RunState#NOT_RUN} may be stated only if the request certainly did not
 *     run
 * @param message explanation for the client
 * @param retryAfter time after which the client should send the request again; zero means immediately
 */
public record Refusal(RefusalCode code, RunState runState, String message, Duration retryAfter) {
    /** Creates a refusal with the run state that the code implies. */
    public static Refusal of(RefusalCode code, String message, Duration retryAfter) {
        return new Refusal(code, code.defaultRunState(), message, retryAfter);
    }
}
