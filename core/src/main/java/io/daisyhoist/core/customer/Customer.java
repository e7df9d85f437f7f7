package io.daisyhoist.core.customer;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Customer as configured by operators. Immutable.
 *
 * @param name name of the customer
 * @param apiKeys hashes of the keys that identify its requests
 * @param priority priority of its requests, which replaces that of their route; 0 is the highest
 * @param quota limit on its requests; empty if there is none
 */
public record Customer(
        CustomerName name, Set<ApiKeyHash> apiKeys, OptionalInt priority, Optional<CustomerQuota> quota) {
    public Customer {
        apiKeys = Set.copyOf(apiKeys);
    }
}
