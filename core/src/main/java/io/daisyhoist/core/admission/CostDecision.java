package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.Optional;

/** Result of offering a request to a {@link CostAdmission}. */
public sealed interface CostDecision {
    /**
     * The request may be sent now.
     *
     * @param request request to return when it has ended
     */
    record Started(CostRequest request) implements CostDecision {}

    /**
     * The request waits; a later update starts or refuses it.
     *
     * @param request the waiting request
     * @param displaced request that is refused in its place, if the queue was full
     */
    record Waiting(CostRequest request, Optional<Refused> displaced) implements CostDecision {}

    /**
     * The request did not run.
     *
     * @param request refused request
     * @param reason why it was refused
     * @param retryAfter expected time until there is room for it
     */
    record Refused(CostRequest request, Reason reason, Duration retryAfter) implements CostDecision {}

    /** Why a request was refused. */
    enum Reason {
        /** Its expected wait leaves no time to run before its deadline. */
        DEADLINE_UNREACHABLE,
        /** Its time to wait is over. */
        EXPIRED,
        /** The queue is full of requests that are to be served before it. */
        QUEUE_FULL,
        /** A request that is to be served before it has taken its place in a full queue. */
        DISPLACED
    }
}
