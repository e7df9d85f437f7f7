package io.daisyhoist.testkit.load;

/**
 * What one send of a request brought. Immutable.
 *
 * @param sendId id of the send
 * @param kind kind of result
 * @param code refusal code, or the HTTP status of another answer, or the reason of no answer
 * @param run run state that the answer states, empty without one
 * @param token attempt token that the answer carries, empty without one
 */
record SendResult(String sendId, Kind kind, String code, String run, String token) {
    /** Code of a send for which no connection could be had, so that nothing was sent. */
    static final String NOT_CONNECTED = "not-connected";

    /** Code of a send that was written and brought no response in time. */
    static final String TIMED_OUT = "timed-out";

    /** Code of a send that was written and whose connection was lost before the whole response. */
    static final String INTERRUPTED = "interrupted";

    enum Kind {
        /** The whole response to this request. */
        ANSWERED,
        /** A refusal of the daemon. */
        REFUSED,
        /** A response that is cut off, belongs to another request or breaks the interface. */
        WRONG,
        /** No response within the time of a send. */
        NO_ANSWER
    }

    boolean isNotRun() {
        return run.equals("not-run");
    }
}
