package io.daisyhoist.core.fleet;

import java.util.OptionalLong;

/**
 * Identity of one process of a backend server; a restart gives a new identity, possibly with the same id. Immutable.
 *
 * @param id identifier chosen by the process
 * @param startedMillis start time of the process, in milliseconds since the Unix epoch
 */
public record BackendProcessId(String id, long startedMillis) {
    private static final int MAX_ID_CHARS = 200;

    /** Validates the id, which is sent in a header field, and the start time. */
    public BackendProcessId {
        requireValid(id, startedMillis);
    }

    /**
     * Checks an identity without creating it.
     *
     * @throws IllegalArgumentException if the id has another syntax or the start time is negative
     */
    public static void requireValid(String id, long startedMillis) {
        if (id == null
                || id.isEmpty()
                || id.length() > MAX_ID_CHARS
                || !id.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
            throw new IllegalArgumentException("backend id must be 1 to " + MAX_ID_CHARS + " visible ASCII characters");
        }
        if (startedMillis < 0) {
            throw new IllegalArgumentException("start time must not be negative: " + startedMillis);
        }
    }

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
