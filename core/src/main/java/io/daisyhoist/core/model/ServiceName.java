package io.daisyhoist.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a service. Ordered by name. Immutable.
 *
 * @param name letters, digits, dot, underscore and hyphen, 1 to 64 characters
 */
public record ServiceName(@JsonValue String name) implements Comparable<ServiceName> {
    /** Validates the name. */
    @JsonCreator
    public ServiceName {
        Names.requireValid("service name", name);
    }

    @Override
    public int compareTo(ServiceName other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
