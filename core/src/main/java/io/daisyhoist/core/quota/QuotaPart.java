package io.daisyhoist.core.quota;

import java.time.Duration;

import io.daisyhoist.core.customer.CustomerName;

/**
 * Reply of a lender to one demand. Immutable.
 *
 * @param customer customer whose quota is lent
 * @param requests requests that the borrower may let run; 0 if there is no room
 * @param validity time in which they may start, counted by the borrower from the time at which it sent its demand
 * @param moreAfter time after which more may be available if fewer were lent than wanted; zero otherwise
 */
public record QuotaPart(CustomerName customer, int requests, Duration validity, Duration moreAfter) {
    /** Validates the numbers. */
    public QuotaPart {
        if (requests < 0 || validity.isNegative() || moreAfter.isNegative()) {
            throw new IllegalArgumentException("invalid loan of " + requests + " requests");
        }
    }
}
