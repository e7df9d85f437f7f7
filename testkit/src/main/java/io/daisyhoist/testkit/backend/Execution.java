package io.daisyhoist.testkit.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * Execution of a request as recorded in the execution log. Immutable.
 *
 * <p>An execution counts from its start: its effect may have happened, however it ended.
 *
 * @param number position in the log of this process, starting at 1
 * @param service service named by the request
 * @param key key named by the request, empty without one
 * @param partition partition number of the fencing token, -1 without one
 * @param epoch epoch of the fencing token, -1 without one
 * @param method HTTP method
 * @param attemptToken attempt token, empty without one
 * @param requestId request id of the client, empty without one
 * @param incarnation incarnation of the backend server
 * @param startMicros wall-clock start in microseconds since 1970
 * @param endMicros wall-clock end in microseconds since 1970, 0 while running
 * @param end how it ended
 */
public record Execution(
        @JsonProperty("number") long number,
        @JsonProperty("service") String service,
        @JsonProperty("key") String key,
        @JsonProperty("partition") int partition,
        @JsonProperty("epoch") long epoch,
        @JsonProperty("method") String method,
        @JsonProperty("attempt_token") String attemptToken,
        @JsonProperty("request_id") String requestId,
        @JsonProperty("incarnation") long incarnation,
        @JsonProperty("start_us") long startMicros,
        @JsonProperty("end_us") long endMicros,
        @JsonProperty("end") End end) {
    /** How an execution ended. */
    public enum End {
        RUNNING,
        FINISHED,
        CANCELLED,
        DEADLINE,
        CRASHED
    }

    Execution withEnd(End newEnd, long atMicros) {
        return new Execution(
                number,
                service,
                key,
                partition,
                epoch,
                method,
                attemptToken,
                requestId,
                incarnation,
                startMicros,
                atMicros,
                newEnd);
    }
}
