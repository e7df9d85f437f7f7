package io.daisyhoist.core.lease;

import java.time.Duration;

/**
 * A witness's response to a request to fence a session. Immutable.
 *
 * @param result what the witness did
 * @param time time left of the promise when the result is {@link Result#PROMISED}, time since the start of the later
 *     process when it is {@link Result#SUPERSEDED}, otherwise zero
 */
public record FenceOutcome(Result result, Duration time) {
    /** The session is fenced. */
    public static final FenceOutcome FENCED = new FenceOutcome(Result.FENCED, Duration.ZERO);

    /** The record that the witness knows does not list the session. */
    public static final FenceOutcome NOT_A_WITNESS = new FenceOutcome(Result.NOT_A_WITNESS, Duration.ZERO);

    /**
     * The asked process has ended: its address answers as a later process of the same daemon.
     *
     * @param uptime time since the later process started
     */
    public static FenceOutcome superseded(Duration uptime) {
        return new FenceOutcome(Result.SUPERSEDED, uptime);
    }

    /** What the witness did. */
    public enum Result {
        FENCED,
        PROMISED,
        SUPERSEDED,
        NOT_A_WITNESS
    }

    /** Refuses because a promise still runs. */
    public static FenceOutcome promised(Duration remaining) {
        return new FenceOutcome(Result.PROMISED, remaining);
    }
}
