package io.daisyhoist.mesh.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/**
 * Key-value store of the platform.
 *
 * <p>A call without a response fails with {@link StoreUnavailableException}; a write may then still be applied, even
 * seconds later. Revisions and lease ids contain their {@link StoreEra}; a response of an older era than the newest one is
 * no response, and a write that was begun in an older era has no known outcome. Implementations are thread-safe.
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

    /** Sets the listener of eras, called for the first one and each later one before the response that shows it. */
    default void setEraListener(Consumer<StoreEra> listener) {}
}
