package io.daisyhoist.mesh.store;

/** Result of a transaction to which the store responded. */
public sealed interface TransactionResult {
    /**
     * The transaction was committed.
     *
     * @param revision new revision of the changed keys
     */
    record Committed(long revision) implements TransactionResult {}

    /** A condition was not met; nothing was changed. */
    record Conflict() implements TransactionResult {}

    /** A lease of a write has ended; nothing was changed. */
    record LeaseEnded() implements TransactionResult {}
}
