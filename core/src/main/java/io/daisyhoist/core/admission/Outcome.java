package io.daisyhoist.core.admission;

/** How a request that was sent to the backend server ended, as far as the backend server's load is concerned. */
public enum Outcome {
    /** A response arrived, whatever its status, that is not a shed. */
    OK,
    /** The backend server refused the request because of its load. */
    SHED,
    /** No connection could be opened. */
    CONNECTION_REFUSED,
    /** The connection broke after the request was written. */
    LOST,
    /** No response arrived in time. */
    TIMED_OUT,
    /** The request was withdrawn before the backend server answered; says nothing about its load. */
    CANCELLED
}
