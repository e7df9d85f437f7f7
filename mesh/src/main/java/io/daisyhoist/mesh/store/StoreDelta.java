package io.daisyhoist.mesh.store;

import java.util.List;

/**
 * All changes of the items under one key prefix between two store revisions. Immutable.
 *
 * @param fromRevision store revision before the first change
 * @param changes the changes, in the order of their revisions
 * @param asOf store revision up to which the changes are complete
 */
public record StoreDelta(long fromRevision, List<StoreEvent> changes, long asOf) {
    /** Copies the list and checks the order of the revisions. */
    public StoreDelta {
        if (fromRevision < 0 || asOf < fromRevision) {
            throw new IllegalArgumentException("invalid revisions " + fromRevision + " to " + asOf);
        }
        changes = List.copyOf(changes);
    }
}
