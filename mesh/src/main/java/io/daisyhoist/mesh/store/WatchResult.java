package io.daisyhoist.mesh.store;

import java.util.List;

/** Result of a watch. */
public sealed interface WatchResult {
    /**
     * All changes up to a revision.
     *
     * @param events the changes in order; may be empty
     * @param asOf store revision from which to go on
     */
    record Changes(List<StoreEvent> events, long asOf) implements WatchResult {}

    /** The store no longer has the history since the given revision; the items have to be read anew. */
    record HistoryLost() implements WatchResult {}
}
