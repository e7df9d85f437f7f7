package io.daisyhoist.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Availability zone, identified by its name. Ordered by name. Immutable.
 *
 * @param name letters, digits, dot, underscore and hyphen, 1 to 64 characters
 */
public record AvailabilityZone(@JsonValue String name) implements Comparable<AvailabilityZone> {
    /** Validates the name. */
    @JsonCreator
    public AvailabilityZone {
        Names.requireValid("availability zone", name);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
