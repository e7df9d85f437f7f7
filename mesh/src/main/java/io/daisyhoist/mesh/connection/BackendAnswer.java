package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/** How one request to a backend server ended. */
public sealed interface BackendAnswer {
    /**
     * The backend server ran the request and gave a complete answer.
     *
     * @param status its status
     * @param headers its end-to-end headers
     * @param body its body
     */
    record Answered(int status, List<HttpField> headers, Buffer body) implements BackendAnswer {}

    /**
     * The request did not run and never will.
     *
     * @param reason why
     * @param arrived whether it had reached a backend server, which rejected it
     * @param retryAfter time after which it may be accepted
     */
    record NotRun(NotRunReason reason, boolean arrived, Duration retryAfter) implements BackendAnswer {}

    /**
     * The request may have run.
     *
     * @param reason what happened
     */
    record Unknown(UnknownReason reason) implements BackendAnswer {}

    /** Why a request did not run. */
    enum NotRunReason {
        /** The daemon is not beside the expected process of a backend server. */
        WRONG_BACKEND,
        /** The backend server leaves. */
        LEAVING,
        /** Its availability zone gets no new work. */
        ZONE_EVACUATED,
        /** It does not hold the key, and will not soon. */
        KEY_NOT_HELD,
        /** It does not hold the key, which is about to move to it or from it. */
        KEY_MOVING,
        /** It is cold and has had as many requests as it bears. */
        COLD,
        /** Its instance is slow at present, and the sender has another choice. */
        SLOW,
        /** It has no room. */
        OVERLOADED,
        /** It could not be reached. */
        UNREACHABLE,
        /** Its own answer says so. */
        REJECTED,
        /** The time was over before it was sent. */
        DEADLINE,
        /** The client has gone. */
        CANCELLED,
        /** The daemon beside it could not be reached. */
        PEER_UNREACHABLE
    }

    /** Why it is not known whether a request ran. */
    enum UnknownReason {
        CONNECTION_LOST,
        DEADLINE,
        CANCELLED,
        DAMAGED_ANSWER,
        PEER_LOST
    }
}
