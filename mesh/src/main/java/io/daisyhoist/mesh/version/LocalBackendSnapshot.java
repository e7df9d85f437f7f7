package io.daisyhoist.mesh.version;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.GrantedRange;

/**
 * Snapshot of the local backend server for the request path. Immutable.
 *
 * @param backend local backend server; empty before its first heartbeat
 * @param grantedRanges key ranges that were granted last
 * @param keyLeaseEndNanos monotonic time at which the leases on these ranges expire
 * @param mayGrant whether key ranges may be granted at the next heartbeat
 */
public record LocalBackendSnapshot(
        Optional<LocalBackend> backend, List<GrantedRange> grantedRanges, long keyLeaseEndNanos, boolean mayGrant) {
    /** Snapshot before the first heartbeat. */
    public static final LocalBackendSnapshot EMPTY = new LocalBackendSnapshot(Optional.empty(), List.of(), 0, false);

    /** Creates a snapshot with a copy of the list. */
    public LocalBackendSnapshot {
        grantedRanges = List.copyOf(grantedRanges);
    }

    /** Returns whether the backend server holds a key at the given monotonic time. */
    public boolean holds(int key, long nowNanos) {
        return keyLeaseEndNanos - nowNanos > 0
                && grantedRanges.stream().anyMatch(range -> range.range().contains(key));
    }
}
