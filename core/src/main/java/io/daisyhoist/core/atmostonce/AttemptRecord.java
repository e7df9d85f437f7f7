package io.daisyhoist.core.atmostonce;

import java.util.Optional;

/**
 * State of one attempt. Immutable.
 *
 * @param token token of the attempt
 * @param state whether it is running or how it ended
 * @param response the response of a finished run, if it was kept
 */
public record AttemptRecord(AttemptToken token, State state, Optional<RecordedResponse> response) {
    private static final int OVERHEAD_BYTES = 256;

    /** Whether an attempt is running, has a known outcome, or has an unknown outcome. */
    public enum State {
        RUNNING,
        FINISHED,
        UNKNOWN
    }

    /** Returns the approximate memory size. */
    long sizeBytes() {
        return OVERHEAD_BYTES + response.map(RecordedResponse::sizeBytes).orElse(0L);
    }
}
