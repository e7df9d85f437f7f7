package io.daisyhoist.testkit.load;

/**
 * Result of one send of a request. Immutable.
 *
 * @param sendId id of the send
 * @param kind kind of result
 * @param code refusal code, HTTP status of another response, or reason why there is no response
 * @param runState run state stated by the response, empty without one
 * @param token attempt token in the response, empty without one
 */
record SendResult(String sendId, Kind kind, String code, String runState, String token) {
    /** Code of a send that failed because no connection could be opened; nothing was sent. */
    static final String NOT_CONNECTED = "not-connected";

    /** Code of a send that was written and got no response in time. */
    static final String TIMED_OUT = "timed-out";

    /** Code of a send that was written and lost its connection before the complete response. */
    static final String INTERRUPTED = "interrupted";

    enum Kind {
        /** The complete response to this request. */
        ANSWERED,
        /** A refusal by the daemon, or an error response of the backend server. */
        REFUSED,
        /** A response that is truncated, belongs to another request or violates the protocol. */
        WRONG,
        /** No complete response: the connection could not be opened or was lost, or the send timed out. */
        NO_ANSWER
    }

    boolean isNotRun() {
        return runState.equals("not-run");
    }
}
