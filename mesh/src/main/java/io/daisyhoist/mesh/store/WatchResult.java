package io.daisyhoist.mesh.store;

import java.util.List;

/** Result of a watch. */
public sealed interface WatchResult {
    /**
     * All changes up to a revision.
     *
     * @param events changes in revision order; may be empty
     * @param asOf store revision from which the next watch continues
     */
    record Changes(List<StoreEvent> events, long asOf) implements WatchResult {}

    /** The store has discarded the history since the given revision; the items have to be listed again. */
    record HistoryLost() implements WatchResult {}
}
