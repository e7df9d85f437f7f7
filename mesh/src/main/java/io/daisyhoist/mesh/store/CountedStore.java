package io.daisyhoist.mesh.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

/** Counts the calls of a store by their kind. Thread-safe if the store and the counter are. */
public final class CountedStore implements MetadataStore {
    private final MetadataStore store;
    private final Consumer<String> counter;

    /**
     * Creates a store that counts.
     *
     * @param counter called with the kind of each call
     */
    public CountedStore(MetadataStore store, Consumer<String> counter) {
        this.store = store;
        this.counter = counter;
    }

    @Override
    public CompletableFuture<Optional<StoredItem>> get(String key) {
        counter.accept("get");
        return store.get(key);
    }

    @Override
    public CompletableFuture<ItemPage> list(String prefix, Optional<String> after) {
        counter.accept("list");
        return store.list(prefix, after);
    }

    @Override
    public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        counter.accept("watch");
        return store.watch(prefix, afterRevision, wait);
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        counter.accept("commit");
        return store.commit(transaction);
    }

    @Override
    public CompletableFuture<StoreLease> createLease(Duration ttl) {
        counter.accept("lease");
        return store.createLease(ttl);
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        counter.accept("renew");
        return store.renewLease(lease);
    }

    @Override
    public void setEraListener(Consumer<StoreEra> listener) {
        store.setEraListener(listener);
    }
}
