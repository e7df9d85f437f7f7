package io.daisyhoist.core.lease;

import java.time.Duration;

/**
 * Response of a witness to a request to fence a session. Immutable.
 *
 * @param result result of the request
 * @param time remaining time of the promise if the result is {@link Result#PROMISED}, uptime of the later process if it
 *     is {@link Result#SUPERSEDED}, otherwise zero
 */
public record FenceOutcome(Result result, Duration time) {
    public static final FenceOutcome FENCED = new FenceOutcome(Result.FENCED, Duration.ZERO);

    /** The group record known to the witness does not list the session. */
    public static final FenceOutcome NOT_A_WITNESS = new FenceOutcome(Result.NOT_A_WITNESS, Duration.ZERO);

    /**
     * Creates the outcome for a witness process that has ended: a later process of the same daemon responds at its
     * address.
     *
     * @param uptime time since the later process started
     */
    public static FenceOutcome superseded(Duration uptime) {
        return new FenceOutcome(Result.SUPERSEDED, uptime);
    }

    public enum Result {
        FENCED,
        PROMISED,
        SUPERSEDED,
        NOT_A_WITNESS
    }

    /** Creates the outcome for a session with an unexpired promise. */
    public static FenceOutcome promised(Duration remaining) {
        return new FenceOutcome(Result.PROMISED, remaining);
    }
}
