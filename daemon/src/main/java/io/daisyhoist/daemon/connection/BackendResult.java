package io.daisyhoist.daemon.connection;

import java.util.List;

import io.vertx.core.buffer.Buffer;

/** What became of a request for the backend server. */
public sealed interface BackendResult {
    /** Reasons for which a request was certainly not written. */
    enum NotWrittenReason {
        CONNECTION_REFUSED,
        POOL_EXHAUSTED,
        CANCELLED,
        DEADLINE,
        LAST_CHECK,
        INVALID_REQUEST
    }

    /** Reasons for which it is unknown whether a written request ran. */
    enum UnknownReason {
        CONNECTION_LOST,
        CANCELLED,
        DEADLINE,
        RESPONSE_TOO_LARGE
    }

    /**
     * The complete response of the backend server.
     *
     * @param status HTTP status
     * @param headers end-to-end headers
     * @param body the body, may be empty
     */
    record Answered(int status, List<HttpField> headers, Buffer body) implements BackendResult {}

    /** The backend server has seen a newer fencing token and did not run the request. */
    record StaleFence() implements BackendResult {}

    /**
     * No byte of the request was handed to the network.
     *
     * @param reason why
     * @param message explanation
     */
    record NotWritten(NotWrittenReason reason, String message) implements BackendResult {}

    /**
     * The request was written, in whole or in part, and no complete response arrived.
     *
     * @param reason why
     * @param message explanation
     */
    record Unknown(UnknownReason reason, String message) implements BackendResult {}
}
