package io.daisyhoist.mesh.store;

import java.util.Optional;

/**
 * A change of one key. Immutable.
 *
 * @param key the key
 * @param revision store revision of the change
 * @param item the item as it was written; empty when it was deleted
 */
public record StoreEvent(String key, long revision, Optional<StoredItem> item) {}
