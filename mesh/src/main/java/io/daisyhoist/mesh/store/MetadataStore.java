package io.daisyhoist.mesh.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * Key-value store of the platform.
 *
 * <p>A call without a response fails with {@link StoreUnavailableException}; a write may then still be applied, even
 * seconds later. Implementations are thread-safe.
 */
public interface MetadataStore {
    /** Reads the latest revision of an item; empty if it does not exist. */
    CompletableFuture<Optional<StoredItem>> get(String key);

    /** Lists items under a prefix, starting after the given key; pages do not form a consistent snapshot. */
    CompletableFuture<ItemPage> list(String prefix, Optional<String> after);

    /** Waits for changes under a prefix after a revision. */
    CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait);

    /** Commits a conditional transaction. */
    CompletableFuture<TransactionResult> commit(Transaction transaction);

    /** Creates a lease. */
    CompletableFuture<StoreLease> createLease(Duration ttl);

    /** Renews a lease; false if it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);
}
