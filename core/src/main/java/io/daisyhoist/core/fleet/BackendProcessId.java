package io.daisyhoist.core.fleet;

import java.util.OptionalLong;

/**
 * Identity of one process of a backend server; a restart gives a new identity, possibly with the same id. Immutable.
 *
 * @param id identifier chosen by the process
 * @param startedMillis start time of the process, in milliseconds since the Unix epoch
 */
public record BackendProcessId(String id, long startedMillis) {
    /** Returns whether this process started after another one. */
    public boolean startedAfter(BackendProcessId other) {
        return startedMillis > other.startedMillis;
    }

    /** Returns whether this process has the given id and, if known, the given start time. */
    public boolean matches(String otherId, OptionalLong otherStartedMillis) {
        return id.equals(otherId) && (otherStartedMillis.isEmpty() || otherStartedMillis.getAsLong() == startedMillis);
    }

    @Override
    public String toString() {
        return id + "@" + startedMillis;
    }
}
