package io.daisyhoist.core.atmostonce;

import java.util.Optional;

/**
 * How one attempt ended. Immutable.
 *
 * @param token the attempt
 * @param state how it ended
 * @param response the response of a finished run, if it was kept
 */
public record AttemptRecord(AttemptToken token, State state, Optional<RecordedResponse> response) {
    private static final int OVERHEAD_BYTES = 256;

    /** State of an attempt. */
    public enum State {
        RUNNING,
        FINISHED,
        UNKNOWN
    }

    long sizeBytes() {
        return OVERHEAD_BYTES + response.map(RecordedResponse::sizeBytes).orElse(0L);
    }
}
