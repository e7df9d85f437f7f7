package io.daisyhoist.mesh.store;

import java.util.List;

/**
 * Part of the items under a prefix. Immutable.
 *
 * @param items items in the order of their keys
 * @param hasMore whether more follow after the last one
 * @param asOf store revision at which it was read
 */
public record ItemPage(List<StoredItem> items, boolean hasMore, long asOf) {
    /** Copies the list. */
    public ItemPage {
        items = List.copyOf(items);
    }
}
