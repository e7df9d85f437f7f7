package io.daisyhoist.core.keyrange;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;

/**
 * Assignment of a key range to the one backend server that may hold it. Immutable.
 *
 * @param from first key
 * @param to last key
 * @param daemon daemon that grants the keys to its local backend server
 * @param backendId identifier of the backend server's process
 * @param backendStartedMillis start time of the process, in milliseconds since the Unix epoch
 * @param fence fencing token, higher than all earlier ones of these keys
 * @param handoverToken handover token issued by the previous holder; empty if there is none
 */
public record RangeAssignment(
        int from,
        int to,
        DaemonId daemon,
        String backendId,
        long backendStartedMillis,
        long fence,
        String handoverToken) {
    /** Validates that all fields are present and within their ranges. */
    public RangeAssignment {
        KeyRange.requireValid(from, to);
        Objects.requireNonNull(daemon, "daemon");
        BackendProcessId.requireValid(backendId, backendStartedMillis);
        if (fence < 0) {
            throw new IllegalArgumentException("fence must not be negative: " + fence);
        }
        Objects.requireNonNull(handoverToken, "handoverToken");
    }

    /** Creates an assignment of a range to a backend server process. */
    public static RangeAssignment of(
            KeyRange range, DaemonId daemon, BackendProcessId process, long fence, String handoverToken) {
        return new RangeAssignment(
                range.from(), range.to(), daemon, process.id(), process.startedMillis(), fence, handoverToken);
    }

    public KeyRange range() {
        return new KeyRange(from, to);
    }

    /** Returns the backend server process that may hold the range. */
    public BackendProcessId process() {
        return new BackendProcessId(backendId, backendStartedMillis);
    }

    /** Returns a copy restricted to a part of the range. */
    public RangeAssignment within(KeyRange part) {
        return new RangeAssignment(
                part.from(), part.to(), daemon, backendId, backendStartedMillis, fence, handoverToken);
    }

    /** Returns whether the range is assigned to the given daemon and backend server process. */
    @JsonIgnore
    public boolean belongsTo(DaemonId owner, BackendProcessId process) {
        return daemon.equals(owner) && process().equals(process);
    }
}
