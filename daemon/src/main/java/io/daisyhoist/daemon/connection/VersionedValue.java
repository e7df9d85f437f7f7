package io.daisyhoist.daemon.connection;

import java.util.Arrays;

/**
 * Value in the platform's store with its revision. Immutable; the bytes must not be changed.
 *
 * @param revision revision of the value, starting at 1
 * @param bytes the value
 */
public record VersionedValue(long revision, byte[] bytes) {
    @Override
    public boolean equals(Object other) {
        return other instanceof VersionedValue value && revision == value.revision && Arrays.equals(bytes, value.bytes);
    }

    @Override
    public int hashCode() {
        return 31 * Long.hashCode(revision) + Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return "VersionedValue[revision=" + revision + ", bytes=" + bytes.length + "]";
    }
}
