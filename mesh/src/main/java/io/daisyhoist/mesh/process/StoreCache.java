package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.store.ItemPage;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.WatchResult;

/**
 * Local copy of the items under one key prefix of the store.
 *
 * <p>Lists all items, then watches for changes; lists again when the store has discarded the history. Invariant: the
 * listener receives the changes of each key in revision order, and never an older revision after a newer one; an exception
 * of the listener affects only the change that caused it. Confined to the control thread.
 */
final class StoreCache {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Short enough to detect a hanging watch, long enough to keep the cost of idle watches low. */
    private static final Duration WATCH_DURATION = Duration.ofSeconds(10);

    private static final Duration WATCH_TIMEOUT = WATCH_DURATION.plusSeconds(3);
    private static final Duration RETRY_DELAY = Duration.ofMillis(250);

    /** Batches changes in quick succession into one call. */
    private static final Duration MIN_BATCH_DELAY = Duration.ofMillis(20);

    /**
     * Limits the calls while items change continuously, for example when a fleet starts and each daemon watches the
     * registrations of all others. Small against the time in which a configuration has to be in force.
     */
    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(160);

    private final String prefix;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Listener listener;
    private final CallbackGuard guard;
    private final Map<String, StoredItem> items = new HashMap<>();
    private long lastChangeRevision;
    private long asOf;
    private boolean connected = true;
    private long generation;
    private Duration batchDelay = MIN_BATCH_DELAY;
    private ElapsedTimer watchSentAt;

    /** Receives changes, on the control thread. */
    interface Listener {
        /** Called when an item was written. */
        void onItem(StoredItem item);

        /** Called when a key was deleted. */
        void onDeleted(String key);

        /** Applies the changes of one response of the store, which are reported by the other methods. */
        default void onBatch(Runnable changes) {
            changes.run();
        }

        /** Called when all items of a listing that was requested at the given time have been reported. */
        void onSynchronized(ElapsedTimer sentAt);
    }

    StoreCache(String prefix, StoreAccess access, Listener listener) {
        this.prefix = prefix;
        this.store = access.store();
        this.control = access.control();
        this.time = access.time();
        this.guard = access.guard();
        this.listener = listener;
        this.watchSentAt = ElapsedTimer.start(time);
    }

    /** Lists all items, then watches for changes; cancels a listing or watch that is in progress. */
    void reload() {
        generation++;
        listAll(generation);
    }

    private void listAll(long startedGeneration) {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        control.whenComplete(listPages(Optional.empty(), new ArrayList<>(), Long.MAX_VALUE), (listing, failure) -> {
            if (startedGeneration != generation) {
                return;
            }
            if (failure != null) {
                onStoreUnavailable(failure);
                control.scheduleOnce(
                        () -> runIfCurrent(startedGeneration, () -> listAll(startedGeneration)), RETRY_DELAY);
                return;
            }
            onStoreRecovered();
            applyBatch(() -> apply(listing));
            guard.run("store_synchronized", prefix, () -> listener.onSynchronized(sentAt));
            watch(startedGeneration);
        });
    }

    private record Listing(List<StoredItem> items, long asOf) {}

    private CompletableFuture<Listing> listPages(Optional<String> after, List<StoredItem> pages, long lowestAsOf) {
        return store.list(prefix, after).thenCompose(page -> {
            pages.addAll(page.items());
            // Pages are not a consistent snapshot, so the watch has to start at the revision of the oldest page.
            long readAsOf = Math.min(lowestAsOf, page.asOf());
            if (!page.hasMore() || page.items().isEmpty()) {
                return CompletableFuture.completedFuture(new Listing(pages, readAsOf));
            }
            return listPages(Optional.of(lastKey(page)), pages, readAsOf);
        });
    }

    private static String lastKey(ItemPage page) {
        return page.items().get(page.items().size() - 1).key();
    }

    /** Applies a listing that another daemon has read, as if this daemon had read it. */
    void applyListing(List<StoredItem> listedItems, long listedAsOf) {
        applyBatch(() -> apply(new Listing(listedItems, listedAsOf)));
    }

    private void applyBatch(Runnable changes) {
        guard.run("store_batch", prefix, () -> listener.onBatch(changes));
    }

    /** Returns the key prefix of all items. */
    String prefix() {
        return prefix;
    }

    List<StoredItem> items() {
        return List.copyOf(items.values());
    }

    /** Returns the store revision up to which the copy is complete. */
    long asOf() {
        return asOf;
    }

    /** Returns the store revision of the latest known change. */
    long lastChangeRevision() {
        return lastChangeRevision;
    }

    private void apply(Listing listing) {
        if (listing.asOf() < asOf) {
            return;
        }
        List<String> unlistedKeys = new ArrayList<>(items.keySet());
        for (StoredItem item : listing.items()) {
            unlistedKeys.remove(item.key());
            onItem(item);
        }
        for (String key : unlistedKeys) {
            if (items.get(key).revision() <= listing.asOf()) {
                delete(key, listing.asOf());
            }
        }
        asOf = Math.max(asOf, listing.asOf());
    }

    private void onItem(StoredItem item) {
        StoredItem existing = items.get(item.key());
        if (existing == null || existing.revision() < item.revision()) {
            items.put(item.key(), item);
            lastChangeRevision = Math.max(lastChangeRevision, item.revision());
            guard.run("store_item", item.key() + "@" + item.revision(), () -> listener.onItem(item));
        }
    }

    private void watch(long startedGeneration) {
        watchSentAt = ElapsedTimer.start(time);
        CompletableFuture<WatchResult> response =
                store.watch(prefix, asOf, WATCH_DURATION).orTimeout(WATCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        control.whenComplete(response, (result, failure) -> {
            if (startedGeneration != generation) {
                return;
            }
            if (failure != null) {
                onStoreUnavailable(failure);
                control.scheduleOnce(
                        () -> runIfCurrent(startedGeneration, () -> watch(startedGeneration)), RETRY_DELAY);
                return;
            }
            onStoreRecovered();
            onWatched(startedGeneration, result);
        });
    }

    private void onWatched(long startedGeneration, WatchResult result) {
        if (result instanceof WatchResult.Changes changes) {
            applyBatch(() -> changes.events().forEach(this::onEvent));
            asOf = Math.max(asOf, changes.asOf());
            if (changes.events().isEmpty()) {
                watch(startedGeneration);
            } else {
                control.scheduleOnce(
                        () -> runIfCurrent(startedGeneration, () -> watch(startedGeneration)), nextBatchDelay());
            }
            return;
        }
        LOGGER.atInfo().log("event=store_history_lost prefix=%s as_of=%d outcome=read_again", prefix, asOf);
        listAll(startedGeneration);
    }

    /** Doubles up to the longest delay while watches return sooner than that. */
    private Duration nextBatchDelay() {
        if (watchSentAt.elapsed(time).compareTo(MAX_BATCH_DELAY) > 0) {
            batchDelay = MIN_BATCH_DELAY;
        } else if (batchDelay.compareTo(MAX_BATCH_DELAY) < 0) {
            batchDelay = batchDelay.multipliedBy(2);
        }
        return batchDelay;
    }

    private void onEvent(StoreEvent event) {
        // A listing from another daemon may have been applied while the watch was waiting.
        if (event.revision() <= asOf) {
            return;
        }
        if (event.item().isPresent()) {
            onItem(event.item().get());
            return;
        }
        StoredItem existing = items.get(event.key());
        if (existing != null && existing.revision() <= event.revision()) {
            delete(event.key(), event.revision());
        }
    }

    private void delete(String key, long revision) {
        items.remove(key);
        lastChangeRevision = Math.max(lastChangeRevision, revision);
        guard.run("store_deletion", key + "@" + revision, () -> listener.onDeleted(key));
    }

    private void runIfCurrent(long startedGeneration, Runnable action) {
        if (startedGeneration == generation) {
            action.run();
        }
    }

    private void onStoreUnavailable(Throwable failure) {
        if (connected) {
            connected = false;
            LOGGER.atWarning().log(
                    "event=dependency_lost dependency=store prefix=%s as_of=%d reason=\"%s\"",
                    prefix, asOf, failure.getMessage());
        }
    }

    private void onStoreRecovered() {
        if (!connected) {
            connected = true;
            LOGGER.atInfo().log("event=dependency_regained dependency=store prefix=%s as_of=%d", prefix, asOf);
        }
    }
}
