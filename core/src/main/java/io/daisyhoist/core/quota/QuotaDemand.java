package io.daisyhoist.core.quota;

import java.util.List;

import io.daisyhoist.core.customer.CustomerName;

/**
 * Demand of one daemon for the quota of one customer. Immutable.
 *
 * @param customer customer whose quota is wanted
 * @param wanted requests that the daemon expects to let run, including those that wait
 * @param used requests that it has let run since its last demand, for the reports of operators
 * @param returns parts of earlier loans that it has not used
 */
public record QuotaDemand(CustomerName customer, int wanted, int used, List<Return> returns) {
    /** Validates the numbers. */
    public QuotaDemand {
        if (wanted < 0 || used < 0) {
            throw new IllegalArgumentException("invalid demand: wanted " + wanted + ", used " + used);
        }
        returns = List.copyOf(returns);
    }

    /**
     * Part of an earlier loan that was not used and never will be. Immutable.
     *
     * @param number number of the message that asked for the loan
     * @param requests number of requests
     */
    public record Return(long number, int requests) {
        /** Validates the number of requests. */
        public Return {
            if (requests < 1) {
                throw new IllegalArgumentException("invalid return: " + requests);
            }
        }
    }
}
