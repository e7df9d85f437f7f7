package io.daisyhoist.mesh.store;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** Counts the calls of a store by their kind, and the invalid responses as a kind of their own. Thread-safe if the store and the counter are. */
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

    private <T> CompletableFuture<T> counted(String kind, Supplier<CompletableFuture<T>> call) {
        counter.accept(kind);
        CompletableFuture<T> response = call.get();
        response.whenComplete((result, failure) -> {
            if (StoreUnavailableException.isInvalidResponse(failure)) {
                counter.accept("invalid_response");
            }
        });
        return response;
    }

    @Override
    public CompletableFuture<Optional<StoredItem>> get(String key) {
        return counted("get", () -> store.get(key));
    }

    @Override
    public CompletableFuture<ItemPage> list(String prefix, Optional<String> after) {
        return counted("list", () -> store.list(prefix, after));
    }

    @Override
    public CompletableFuture<WatchResult> watch(String prefix, long afterRevision, Duration wait) {
        return counted("watch", () -> store.watch(prefix, afterRevision, wait));
    }

    @Override
    public CompletableFuture<TransactionResult> commit(Transaction transaction) {
        return counted("commit", () -> store.commit(transaction));
    }

    @Override
    public CompletableFuture<StoreLease> createLease(Duration ttl) {
        return counted("lease", () -> store.createLease(ttl));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return counted("renew", () -> store.renewLease(lease));
    }

    @Override
    public void setEraListener(Consumer<StoreEra> listener) {
        store.setEraListener(listener);
    }
}
