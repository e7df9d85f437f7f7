package io.daisyhoist.core.quota;

import java.time.Duration;

/** Decision whether the quota of a customer admits a request. */
public sealed interface QuotaDecision {
    /**
     * The request may run.
     *
     * @param permit quota that the request has taken
     */
    record Admitted(QuotaPermit permit) implements QuotaDecision {}

    /**
     * The request must not run.
     *
     * @param reason reason of the refusal
     * @param retryAfter time after which there is likely to be room, spread so that clients do not return all at once
     */
    record Refused(Reason reason, Duration retryAfter) implements QuotaDecision {}

    /** Reason why a request was refused. */
    enum Reason {
        /** The customer has used its quota. */
        OVER_QUOTA,
        /** No daemon that lends quota of the customer replied. */
        NO_LENDER
    }
}
