package io.daisyhoist.mesh.store;

/**
 * Item of the store. Immutable; the value array must not be modified.
 *
 * @param key key
 * @param value value
 * @param revision store revision of the last change
 */
public record StoredItem(String key, byte[] value, long revision) {}
