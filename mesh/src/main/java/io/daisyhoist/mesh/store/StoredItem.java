package io.daisyhoist.mesh.store;

/**
 * An item of the store. Immutable; the value must not be changed.
 *
 * @param key its key
 * @param value its bytes
 * @param revision store revision of its last change
 */
public record StoredItem(String key, byte[] value, long revision) {}
