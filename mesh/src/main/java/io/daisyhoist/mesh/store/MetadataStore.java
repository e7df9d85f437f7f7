package io.daisyhoist.mesh.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/**
 * The platform's key-value store.
 *
 * <p>A call that gets no answer fails with {@link StoreUnavailableException}; a write may then still be done, even
 * seconds later. Implementations are thread-safe.
 */
public interface MetadataStore {
    /** Reads the latest state of an item; empty when it does not exist. */
    CompletableFuture<Optional<StoredItem>> get(String key);

    /** Reads items under a prefix, from behind the given key; pages are not a snapshot. */
    CompletableFuture<ItemPage> range(String prefix, Optional<String> after);

    /** Waits for changes under a prefix since a revision. */
    CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait);

    /** Makes a change under conditions. */
    CompletableFuture<TransactionResult> commit(Transaction transaction);

    /** Creates a lease. */
    CompletableFuture<StoreLease> createLease(Duration ttl);

    /** Renews a lease; false when it has ended. */
    CompletableFuture<Boolean> renewLease(long lease);
}
