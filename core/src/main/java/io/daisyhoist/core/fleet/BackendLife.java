package io.daisyhoist.core.fleet;

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

    @Override
    public String toString() {
        return id + "@" + startedMillis;
    }
}
