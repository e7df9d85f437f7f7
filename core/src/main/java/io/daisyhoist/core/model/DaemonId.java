package io.daisyhoist.core.model;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifier of a daemon, set in its settings and unique in the deployment. Ordered by name. Immutable.
 *
 * @param name letters, digits, dot, underscore and hyphen, 1 to 64 characters
 */
public record DaemonId(@JsonValue String name) implements Comparable<DaemonId> {
    /** Validates the name. */
    @JsonCreator
    public DaemonId {
        Names.requireValid("daemon id", name);
    }

    @Override
    public int compareTo(DaemonId other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
