package io.daisyhoist.core.keyrange;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.DaemonId;

/**
 * Consecutive keys and the one backend server that may hold them. Immutable.
 *
 * @param from first key
 * @param to last key
 * @param daemon daemon that grants them to the backend server beside it
 * @param backendId name of the backend server's process
 * @param backendStartedMillis Unix time of its start in milliseconds
 * @param fence fencing token, above all earlier ones of these keys
 * @param handoverToken token of the last holder; empty when there is none
 */
public record RangeAssignment(
        int from,
        int to,
        DaemonId daemon,
        String backendId,
        long backendStartedMillis,
        long fence,
        String handoverToken) {
    /** Creates an assignment from typed parts. */
    public static RangeAssignment of(
            KeyRange range, DaemonId daemon, BackendLife life, long fence, String handoverToken) {
        return new RangeAssignment(
                range.from(), range.to(), daemon, life.id(), life.startedMillis(), fence, handoverToken);
    }

    /** Returns the keys. */
    public KeyRange range() {
        return new KeyRange(from, to);
    }

    /** Returns the process that may hold them. */
    public BackendLife life() {
        return new BackendLife(backendId, backendStartedMillis);
    }

    /** Returns the same grant for some of the keys. */
    public RangeAssignment within(KeyRange part) {
        return new RangeAssignment(
                part.from(), part.to(), daemon, backendId, backendStartedMillis, fence, handoverToken);
    }

    /** Returns whether the keys belong to a process beside a daemon. */
    @JsonIgnore
    public boolean belongsTo(DaemonId owner, BackendLife process) {
        return daemon.equals(owner) && life().equals(process);
    }
}
