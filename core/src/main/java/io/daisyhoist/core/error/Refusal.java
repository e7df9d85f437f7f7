package io.daisyhoist.core.error;

import java.time.Duration;

/**
 * A typed refusal of a request. Immutable.
 *
 * @param code the reason
 * @param runState whether the request ran; {@link RunState#NOT_RUN} must be true whenever it is stated
 * @param message explanation for the caller
 * @param retryAfter earliest useful time to send the request again; zero means at once
 */
public record Refusal(RefusalCode code, RunState runState, String message, Duration retryAfter) {
    /** Creates a refusal with the run state that the code implies. */
    public static Refusal of(RefusalCode code, String message, Duration retryAfter) {
        return new Refusal(code, code.defaultRunState(), message, retryAfter);
    }
}
