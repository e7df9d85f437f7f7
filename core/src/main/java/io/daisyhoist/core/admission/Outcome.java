package io.daisyhoist.core.admission;

/** Outcome of a request sent to the backend server, with respect to the backend server's load. */
public enum Outcome {
    /** A response with any status arrived that does not shed the request. */
    OK,
    /** The backend server shed the request because of its load. */
    SHED,
    /** No connection could be opened. */
    CONNECTION_REFUSED,
    /** The connection broke after the request was written. */
    LOST,
    /** No response arrived in time. */
    TIMED_OUT,
    /** The request was cancelled before a response arrived; indicates nothing about the load. */
    CANCELLED
}
