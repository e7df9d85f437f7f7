package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/**
 * Response to a client. Immutable.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body body
 * @param retryAfter retry delay for a request that has not run
 */
public record ClientResponse(int status, List<HttpField> headers, Buffer body, Optional<Duration> retryAfter) {
    /** Status of a request that has not run and may be retried. */
    public static final int NOT_RUN = 503;

    /** Status of a request whose outcome is unknown. */
    public static final int OUTCOME_UNKNOWN = 502;

    /** Status of a request whose deadline passed while it may have been running. */
    public static final int TIMED_OUT = 504;

    private static final int UNAUTHORIZED = 401;
    private static final int NO_ROUTE = 404;
    private static final int TOO_LARGE = 413;
    private static final int INVALID = 400;

    /** Returns the response to a request that has not run. */
    public static ClientResponse notRun(Duration retryAfter) {
        return new ClientResponse(NOT_RUN, List.of(), Buffer.buffer(), Optional.of(retryAfter));
    }

    /** Returns a response without a body. */
    public static ClientResponse status(int status) {
        return new ClientResponse(status, List.of(), Buffer.buffer(), Optional.empty());
    }

    /** Returns the response to a request without a valid API key; it has not run. */
    public static ClientResponse unauthorized() {
        return status(UNAUTHORIZED);
    }

    /** Returns the response to a request that matches no route. */
    public static ClientResponse noRoute() {
        return status(NO_ROUTE);
    }

    /** Returns the response to a request whose body exceeds the size limit. */
    public static ClientResponse tooLarge() {
        return status(TOO_LARGE);
    }

    /** Returns the response to a malformed request. */
    public static ClientResponse invalid() {
        return status(INVALID);
    }
}
