package io.daisyhoist.core.quota;

import java.util.List;

import io.daisyhoist.core.model.DaemonId;

/**
 * Message to a lender with the demand for several customers. Immutable.
 *
 * @param lender daemon that holds shards of the customers
 * @param number number of the message, unique in this process
 * @param demands demands, at most one for each customer
 */
public record QuotaAsk(DaemonId lender, long number, List<QuotaDemand> demands) {
    public QuotaAsk {
        demands = List.copyOf(demands);
    }
}
