package io.daisyhoist.mesh.store;

import java.util.Optional;

/**
 * Change of one key. Immutable.
 *
 * @param key changed key
 * @param revision store revision of the change
 * @param item written item; empty if the key was deleted
 */
public record StoreEvent(String key, long revision, Optional<StoredItem> item) {}
