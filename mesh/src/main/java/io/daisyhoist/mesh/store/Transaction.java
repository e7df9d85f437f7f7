package io.daisyhoist.mesh.store;

import java.util.List;

/**
 * Atomic conditional change. Immutable.
 *
 * @param conditions required revisions of keys; {@link #ABSENT} requires that the key does not exist
 * @param writes items to write
 * @param deletes keys to delete
 */
public record Transaction(List<Condition> conditions, List<Write> writes, List<String> deletes) {
    /** Revision of a key that does not exist. */
    public static final long ABSENT = 0;

    /** Lease id of an item that does not expire. */
    public static final long NO_LEASE = 0;

    /**
     * Condition on the revision of a key.
     *
     * @param key key
     * @param revision required revision, or {@link #ABSENT}
     */
    public record Condition(String key, long revision) {}

    /**
     * Write of one key.
     *
     * @param key key
     * @param value value
     * @param lease lease with which the item expires, or {@link #NO_LEASE}
     */
    public record Write(String key, byte[] value, long lease) {}

    /** Creates a transaction with copies of the lists. */
    public Transaction {
        conditions = List.copyOf(conditions);
        writes = List.copyOf(writes);
        deletes = List.copyOf(deletes);
    }
}
