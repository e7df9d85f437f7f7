package io.daisyhoist.mesh.version;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.GrantedRange;

/**
 * What the request path needs to know of the backend server beside this daemon. Immutable.
 *
 * @param backend the backend server; empty before its first heartbeat
 * @param granted keys that it was last told to hold
 * @param holdsEndNanos monotonic time at which it stops holding them
 * @param mayHold whether it may be told to hold keys at its next heartbeat
 */
public record LocalView(
        Optional<LocalBackend> backend, List<GrantedRange> granted, long holdsEndNanos, boolean mayHold) {
    /** Nothing is known. */
    public static final LocalView EMPTY = new LocalView(Optional.empty(), List.of(), 0, false);

    /** Copies the list. */
    public LocalView {
        granted = List.copyOf(granted);
    }

    /** Returns whether the backend server holds a key at the given monotonic time. */
    public boolean holds(int key, long nowNanos) {
        return holdsEndNanos - nowNanos > 0
                && granted.stream().anyMatch(range -> range.range().contains(key));
    }
}
