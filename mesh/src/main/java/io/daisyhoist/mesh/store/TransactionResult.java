package io.daisyhoist.mesh.store;

/** Result of a transaction that the store has answered. */
public sealed interface TransactionResult {
    /**
     * The change was made.
     *
     * @param revision revision of the changed keys
     */
    record Committed(long revision) implements TransactionResult {}

    /** A condition does not hold; nothing was changed. */
    record Conflict() implements TransactionResult {}

    /** A lease of the writes has ended; nothing was changed. */
    record LeaseEnded() implements TransactionResult {}
}
