package io.daisyhoist.core.customer;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Customers of one version of the configuration.
 *
 * <p>Invariant: a key belongs to one customer at most. A lookup takes constant time. Immutable.
 */
public final class CustomerTable {
    /** Table of a fleet whose requests need no key. */
    public static final CustomerTable EMPTY = new CustomerTable(List.of());

    private final Map<CustomerName, Customer> customers = new HashMap<>();
    private final Map<ApiKeyHash, Customer> customersByKey = new HashMap<>();
    private final boolean empty;

    /** Creates a table; of two customers with the same name or key, the later one has it. */
    public CustomerTable(Collection<Customer> customers) {
        this(customers, !customers.isEmpty());
    }

    /**
     * Creates a table that may lack customers whose configuration could not be used.
     *
     * @param keysRequired whether requests need a key, also if none of the customers could be used
     */
    public CustomerTable(Collection<Customer> customers, boolean keysRequired) {
        this.empty = customers.isEmpty() && !keysRequired;
        for (Customer customer : customers) {
            Customer replaced = this.customers.put(customer.name(), customer);
            if (replaced != null) {
                replaced.apiKeys().forEach(customersByKey::remove);
            }
            customer.apiKeys().forEach(key -> customersByKey.put(key, customer));
        }
    }

    /** Returns whether there are no customers, so that requests need no key. */
    public boolean isEmpty() {
        return empty;
    }

    /** Returns all customers. */
    public Collection<Customer> customers() {
        return Collections.unmodifiableCollection(customers.values());
    }

    /** Finds a customer by its name. */
    public Optional<Customer> find(CustomerName name) {
        return Optional.ofNullable(customers.get(name));
    }

    /** Finds the customer that holds a key. */
    public Optional<Customer> findByKey(ApiKeyHash key) {
        return Optional.ofNullable(customersByKey.get(key));
    }
}
