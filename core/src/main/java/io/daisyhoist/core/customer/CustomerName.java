package io.daisyhoist.core.customer;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import io.daisyhoist.core.model.Names;

/**
 * Name of a customer. Ordered by name. Immutable.
 *
 * @param name letters, digits, dot, underscore and hyphen, 1 to 64 characters
 */
public record CustomerName(@JsonValue String name) implements Comparable<CustomerName> {
    /** Validates the name. */
    @JsonCreator
    public CustomerName {
        if (!Names.isValid(name)) {
            throw new IllegalArgumentException("invalid customer name: " + name);
        }
    }

    @Override
    public int compareTo(CustomerName other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
