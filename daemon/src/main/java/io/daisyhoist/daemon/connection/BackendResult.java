package io.daisyhoist.daemon.connection;

import java.util.List;

import io.vertx.core.buffer.Buffer;

/** Result of a request to the backend server. */
public sealed interface BackendResult {
    /** Reasons why a request was certainly not written. */
    enum NotWrittenReason {
        CONNECTION_REFUSED,
        POOL_EXHAUSTED,
        CANCELLED,
        DEADLINE,
        LAST_CHECK,
        INVALID_REQUEST
    }

    /** Reasons why it is unknown whether a written request ran. */
    enum UnknownReason {
        CONNECTION_LOST,
        CANCELLED,
        DEADLINE,
        RESPONSE_TOO_LARGE,
        /** The response contains the id or the status line of another response. */
        FOREIGN_RESPONSE,
        /** The response has an informational status, which the final response is still to follow. */
        INFORMATIONAL_RESPONSE,
        /** The response has no valid status, or cannot be decoded. */
        INVALID_RESPONSE
    }

    /**
     * The complete response of the backend server.
     *
     * @param status HTTP status
     * @param headers end-to-end headers
     * @param body response body, possibly empty
     */
    record Answered(int status, List<HttpField> headers, Buffer body) implements BackendResult {}

    /** The backend server has seen a newer fencing token and did not run the request. */
    record StaleFence() implements BackendResult {}

    /**
     * No byte of the request was written to the network.
     *
     * @param reason reason why it was not written
     * @param message description of the failure
     */
    record NotWritten(NotWrittenReason reason, String message) implements BackendResult {}

    /**
     * The request was written completely or partially, and no complete response was received.
     *
     * @param reason reason why the outcome is unknown
     * @param message description of the failure
     */
    record Unknown(UnknownReason reason, String message) implements BackendResult {}
}
