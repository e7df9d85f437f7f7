package io.daisyhoist.mesh.store;

import java.util.List;

/**
 * Page of a listing of items under a key prefix. Immutable.
 *
 * @param items items in key order
 * @param hasMore whether further items follow
 * @param asOf store revision at which the page was read
 */
public record ItemPage(List<StoredItem> items, boolean hasMore, long asOf) {
    /** Creates a page with a copy of the list. */
    public ItemPage {
        items = List.copyOf(items);
    }
}
