package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/**
 * What a client is answered. Immutable.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body body
 * @param retryAfter when the client should come again, for a request that has not run
 */
public record FinalAnswer(int status, List<HttpField> headers, Buffer body, Optional<Duration> retryAfter) {
    /** Status of a request that has not run and may be sent again. */
    public static final int NOT_RUN = 503;

    /** Status of a request whose outcome is unknown. */
    public static final int OUTCOME_UNKNOWN = 502;

    /** Status of a request whose time has passed while it may have been running. */
    public static final int TIMED_OUT = 504;

    private static final int NO_ROUTE = 404;
    private static final int TOO_LARGE = 413;
    private static final int INVALID = 400;

    /** Returns the answer for a request that has not run. */
    public static FinalAnswer notRun(Duration retryAfter) {
        return new FinalAnswer(NOT_RUN, List.of(), Buffer.buffer(), Optional.of(retryAfter));
    }

    /** Returns an answer without a body. */
    public static FinalAnswer status(int status) {
        return new FinalAnswer(status, List.of(), Buffer.buffer(), Optional.empty());
    }

    /** Returns the answer for a request that no route allows. */
    public static FinalAnswer noRoute() {
        return status(NO_ROUTE);
    }

    /** Returns the answer for a body beyond the bound. */
    public static FinalAnswer tooLarge() {
        return status(TOO_LARGE);
    }

    /** Returns the answer for a request that cannot be read. */
    public static FinalAnswer invalid() {
        return status(INVALID);
    }
}
