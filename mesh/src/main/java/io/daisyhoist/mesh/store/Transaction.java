package io.daisyhoist.mesh.store;

import java.util.List;

/**
 * An all-or-nothing change under conditions. Immutable.
 *
 * @param conditions keys with the revision that each must have; 0 means that the key does not exist
 * @param writes items to write
 * @param deletes keys to delete
 */
public record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletes) {
    /** Revision of a key that does not exist. */
    public static final long ABSENT = 0;

    /** Lease id of an item that does not end by itself. */
    public static final long NO_LEASE = 0;

    /**
     * A condition on a key.
     *
     * @param key the key
     * @param revision the revision that it must have
     */
    public record Condition(String key, long revision) {}

    /**
     * A write of one key.
     *
     * @param key the key
     * @param value the bytes
     * @param lease lease with which the item ends, or {@link #NO_LEASE}
     */
    public record Write(String key, byte[] value, long lease) {}

    /** Copies the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
        deletes = List.copyOf(deletes);
    }
}
