package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/** Outcome of a request to a backend server. */
public sealed interface BackendOutcome {
    /**
     * The backend server ran the request and sent a complete response.
     *
     * @param status HTTP status
     * @param headers end-to-end headers
     * @param body body
     */
    record Answered(int status, List<HttpField> headers, Buffer body) implements BackendOutcome {}

    /**
     * The request did not run and will not run.
     *
     * @param reason reason of the refusal
     * @param reachedBackend whether the request reached a backend server, which rejected it
     * @param retryAfter suggested retry delay
     */
    record NotRun(NotRunReason reason, boolean reachedBackend, Duration retryAfter) implements BackendOutcome {}

    /**
     * The request may have run.
     *
     * @param reason reason why the outcome is unknown
     */
    record Unknown(UnknownReason reason) implements BackendOutcome {}

    /** Reason why a request did not run. */
    enum NotRunReason {
        /** The local backend server of the daemon is not the expected process. */
        WRONG_BACKEND,
        /** The backend server is leaving. */
        LEAVING,
        /** The daemon of the backend server has started and not read the operators' items yet. */
        NO_CONFIGURATION,
        /** The availability zone of the backend server is evacuated. */
        ZONE_EVACUATED,
        /** The backend server does not hold the key, and no key lease can be granted at present. */
        KEY_NOT_HELD,
        /** The backend server does not hold the key at the moment, because it is moving to or from it. */
        KEY_MOVING,
        /** The backend server is cold, and its rate limit is exhausted. */
        COLD,
        /** The instance is currently slow, and the sender can choose another backend server. */
        SLOW,
        /** All slots are in use, and the request cannot be queued. */
        OVERLOADED,
        /** The connection to the backend server failed. */
        UNREACHABLE,
        /** The backend server responded that it did not run the request. */
        REJECTED,
        /** The request has crashed backend servers. */
        CRASH_SUSPECT,
        /** The request cannot be written to a backend server, or its message cannot be decoded. */
        INVALID,
        /** The newest configuration does not give the API key of the request to its customer. */
        KEY_UNKNOWN,
        /** It is not known whether the configuration with the API key of the request is the newest one. */
        KEY_UNCONFIRMED,
        /** The deadline passed before the request was sent. */
        DEADLINE,
        /** The client has disconnected. */
        CANCELLED,
        /** The daemon of the backend server could not be reached. */
        PEER_UNREACHABLE
    }

    /** Reason why it is unknown whether a request ran. */
    enum UnknownReason {
        CONNECTION_LOST,
        DEADLINE,
        CANCELLED,
        DAMAGED_ANSWER,
        PEER_LOST
    }
}
