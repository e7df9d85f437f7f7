package io.daisyhoist.core.fleet;

import java.util.OptionalLong;

/**
 * One process of a backend server; a restart gives another one, possibly under the same id. Immutable.
 *
 * @param id name that the process gives itself
 * @param startedMillis Unix time of its start in milliseconds
 */
public record BackendLife(String id, long startedMillis) {
    /** Returns whether this process was started after another one. */
    public boolean isAfter(BackendLife other) {
        return startedMillis > other.startedMillis;
    }

    /** Returns whether a process of the given name, started at the given Unix time if it is known, is this one. */
    public boolean isNamed(String otherId, OptionalLong otherStartedMillis) {
        return id.equals(otherId) && (otherStartedMillis.isEmpty() || otherStartedMillis.getAsLong() == startedMillis);
    }

    @Override
    public String toString() {
        return id + "@" + startedMillis;
    }
}
