package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.store.ItemPage;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreDelta;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoreEvent;
import io.daisyhoist.mesh.store.StoreUnavailableException;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.WatchResult;

/**
 * Local copy of the items under one key prefix of the store.
 *
 * <p>Lists all items, then follows the changes: by a watch of its own, or by the changes that another daemon passes on.
 * Lists again when the store has discarded the history. Invariants: the copy is complete up to {@link #asOf}, in the
 * era of that revision; the listener
 * receives the changes of each key in revision order, and never an older revision after a newer one; an exception of the
 * listener affects only the change that caused it. Confined to the control thread.
 */
final class StoreCache {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Short enough to detect a hanging watch, long enough to keep the cost of idle watches low. */
    private static final Duration WATCH_DURATION = Duration.ofSeconds(10);

    private static final Duration WATCH_TIMEOUT = WATCH_DURATION.plusSeconds(3);

    /** The store responds at once if there are changes. */
    private static final Duration CATCH_UP_WAIT = Duration.ofMillis(1);

    /** A watch that was sent before that should have returned the changes that a later call returned. */
    private static final Duration MAX_WATCH_DELAY = Duration.ofSeconds(1);

    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(250);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

    /** Batches changes in quick succession into one call. */
    private static final Duration MIN_BATCH_DELAY = Duration.ofMillis(20);

    /**
     * Limits the calls while items change continuously, for example when a fleet starts and its daemons register. Small
     * against the time in which a configuration has to be in force.
     */
    private static final Duration MAX_BATCH_DELAY = Duration.ofMillis(160);

    private final String prefix;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Listener listener;
    private final CallbackRunner callbacks;
    private final Backoff retryBackoff = new Backoff(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    private final Map<String, StoredItem> items = new HashMap<>();
    private long lastChangeRevision;
    private long asOf;
    private boolean connected = true;
    private boolean listed;
    private boolean listingInProgress;
    private boolean watching = true;
    private boolean watchLoopActive;
    private boolean catchUpInProgress;
    private long generation;
    private Duration batchDelay = MIN_BATCH_DELAY;
    private ElapsedTimer watchSentAt;

    /** Receives changes, on the control thread. */
    interface Listener {
        /** Returns an item as it may be kept and passed on to other daemons. */
        default StoredItem withoutSecrets(StoredItem item) {
            return item;
        }

        /** Called when an item was written. */
        void onItem(StoredItem item);

        /** Called when a key was deleted. */
        void onDeleted(String key);

        /** Called when a key is missing in the first listing of a new era, because the store has lost or never had it. */
        default void onLost(String key) {
            onDeleted(key);
        }

        /** Applies the changes of one response of the store, which are reported by the other methods. */
        default void onBatch(Runnable changes) {
            changes.run();
        }

        /** Called when all items of a listing that was requested at the given time have been reported. */
        void onSynchronized(ElapsedTimer sentAt);

        /** Called after changes that were read from the store have been applied to a copy that was complete before. */
        default void onAdvanced(StoreDelta delta) {}
    }

    StoreCache(String prefix, StoreAccess access, Listener listener) {
        this.prefix = prefix;
        this.store = access.store();
        this.control = access.control();
        this.time = access.time();
        this.callbacks = access.callbacks();
        this.listener = listener;
        this.watchSentAt = ElapsedTimer.start(time);
    }

    /** Lists all items, then follows the changes; cancels a listing or watch that is in progress. */
    void reload() {
        startGeneration();
        listAll(generation);
    }

    /** Sets whether this copy follows the store by a watch of its own; a watch in progress continues until it returns. */
    void setWatching(boolean enabled) {
        watching = enabled;
        if (enabled && listed && !watchLoopActive) {
            watch(generation);
        }
    }

    /**
     * Replaces a watch that may never return, because the connection to the store was interrupted; a listing in progress
     * starts again.
     */
    void restartWatch() {
        if (!listed || listingInProgress) {
            reload();
            return;
        }
        startGeneration();
        if (watching) {
            watch(generation);
        }
    }

    private void startGeneration() {
        generation++;
        watchLoopActive = false;
    }

    /**
     * Asks the store once for the changes that this copy lacks.
     *
     * @return whether this copy has all changes that the store had at the call; false also during an earlier call
     */
    CompletableFuture<Boolean> catchUp() {
        if (!listed || catchUpInProgress) {
            return CompletableFuture.completedFuture(false);
        }
        CompletableFuture<Boolean> complete = new CompletableFuture<>();
        long askedAsOf = asOf;
        catchUpInProgress = true;
        control.whenComplete(store.watch(prefix, asOf, CATCH_UP_WAIT), (result, failure) -> {
            catchUpInProgress = false;
            if (result instanceof WatchResult.Changes changes) {
                boolean watchIsLate =
                        watchLoopActive && watchSentAt.elapsed(time).compareTo(MAX_WATCH_DELAY) > 0;
                boolean missed = changes.asOf() > asOf && !changes.events().isEmpty();
                applyChanges(changes.events(), changes.asOf());
                if (missed && watchIsLate) {
                    LOGGER.atWarning().log("event=watch_silent prefix=%s as_of=%d outcome=restart", prefix, asOf);
                    restartWatch();
                }
            } else if (result instanceof WatchResult.HistoryLost) {
                reload();
            }
            // A lower revision is that of an answer to an earlier call.
            complete.complete(result instanceof WatchResult.Changes answer && answer.asOf() >= askedAsOf);
        });
        return complete;
    }

    private void listAll(long startedGeneration) {
        listingInProgress = true;
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        control.whenComplete(listPages(Optional.empty(), new ArrayList<>(), Long.MAX_VALUE), (listing, failure) -> {
            if (startedGeneration != generation) {
                return;
            }
            if (failure != null) {
                onStoreUnavailable(failure);
                scheduleIfCurrent(startedGeneration, () -> listAll(startedGeneration), retryBackoff.nextDelay());
                return;
            }
            onStoreRecovered();
            apply(listing);
            listed = true;
            listingInProgress = false;
            callbacks.run("store_synchronized", prefix, () -> listener.onSynchronized(sentAt));
            // The listener may have started a listing of its own.
            if (startedGeneration == generation && watching) {
                watch(startedGeneration);
            }
        });
    }

    private record Listing(List<StoredItem> items, long asOf) {}

    private CompletableFuture<Listing> listPages(Optional<String> after, List<StoredItem> pages, long lowestAsOf) {
        return store.list(prefix, after).thenCompose(page -> {
            if (!pages.isEmpty() && StoreEra.of(page.asOf()) != StoreEra.of(lowestAsOf)) {
                return CompletableFuture.failedFuture(
                        new StoreUnavailableException("the listing extends over two eras", true));
            }
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
        apply(new Listing(listedItems, listedAsOf));
    }

    /**
     * Applies changes that another daemon has read from the store.
     *
     * @return false if this copy lacks earlier changes, so that these cannot be applied
     */
    boolean applyDelta(StoreDelta delta) {
        if (!listed) {
            return true;
        }
        if (delta.fromRevision() > asOf) {
            return false;
        }
        if (StoreEra.of(delta.fromRevision()) == StoreEra.of(asOf)) {
            applyChanges(delta.changes(), delta.asOf());
        }
        return true;
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
        if (listing.asOf() >= asOf) {
            applyChanges(changesIn(listing), listing.asOf());
        }
    }

    /** Returns the changes that lead from the present copy to a listing; deletions have the revision of the listing. */
    private List<StoreEvent> changesIn(Listing listing) {
        List<String> unlistedKeys = new ArrayList<>(items.keySet());
        List<StoreEvent> changes = new ArrayList<>();
        for (StoredItem item : listing.items()) {
            unlistedKeys.remove(item.key());
            changes.add(new StoreEvent(item.key(), item.revision(), Optional.of(item)));
        }
        for (String key : unlistedKeys) {
            changes.add(new StoreEvent(key, listing.asOf(), Optional.empty()));
        }
        return changes;
    }

    private void applyChanges(List<StoreEvent> received, long changesAsOf) {
        List<StoreEvent> changes = received.stream().map(this::withoutSecrets).toList();
        long fromRevision = asOf;
        callbacks.run("store_batch", prefix, () -> listener.onBatch(() -> changes.forEach(this::onEvent)));
        asOf = Math.max(asOf, changesAsOf);
        List<StoreEvent> newChanges = changes.stream()
                .filter(change -> change.revision() > fromRevision)
                .toList();
        boolean sameEra = StoreEra.of(fromRevision) == StoreEra.of(asOf);
        if (fromRevision > 0 && sameEra && !newChanges.isEmpty()) {
            StoreDelta delta = new StoreDelta(fromRevision, newChanges, asOf);
            callbacks.run("store_advanced", prefix, () -> listener.onAdvanced(delta));
        }
    }

    private StoreEvent withoutSecrets(StoreEvent event) {
        return new StoreEvent(event.key(), event.revision(), event.item().map(listener::withoutSecrets));
    }

    private void onEvent(StoreEvent event) {
        StoredItem existing = items.get(event.key());
        if (event.item().isPresent()) {
            if (existing == null || existing.revision() < event.revision()) {
                onItem(event.item().get());
            }
        } else if (existing != null && existing.revision() <= event.revision()) {
            delete(event.key(), event.revision());
        }
    }

    private void onItem(StoredItem item) {
        items.put(item.key(), item);
        lastChangeRevision = Math.max(lastChangeRevision, item.revision());
        callbacks.run("store_item", item.key() + "@" + item.revision(), () -> listener.onItem(item));
    }

    private void delete(String key, long revision) {
        boolean lost = StoreEra.of(revision) > StoreEra.of(asOf);
        items.remove(key);
        lastChangeRevision = Math.max(lastChangeRevision, revision);
        callbacks.run("store_deletion", key + "@" + revision, () -> {
            if (lost) {
                listener.onLost(key);
            } else {
                listener.onDeleted(key);
            }
        });
    }

    private void watch(long startedGeneration) {
        watchLoopActive = true;
        watchSentAt = ElapsedTimer.start(time);
        CompletableFuture<WatchResult> response = store.watch(prefix, asOf, WATCH_DURATION);
        control.scheduleOnce(
                () -> response.completeExceptionally(new StoreUnavailableException("watch timed out", false)),
                WATCH_TIMEOUT);
        control.whenComplete(response, (result, failure) -> {
            if (startedGeneration != generation) {
                return;
            }
            if (failure != null) {
                onStoreUnavailable(failure);
                watchAfter(startedGeneration, retryBackoff.nextDelay());
                return;
            }
            onStoreRecovered();
            onWatched(startedGeneration, result);
        });
    }

    private void onWatched(long startedGeneration, WatchResult result) {
        if (result instanceof WatchResult.Changes changes) {
            // Another daemon may have passed on changes while the watch was waiting.
            long knownAsOf = asOf;
            List<StoreEvent> unknown = changes.events().stream()
                    .filter(event -> event.revision() > knownAsOf)
                    .toList();
            applyChanges(unknown, changes.asOf());
            watchAfter(startedGeneration, changes.events().isEmpty() ? Duration.ZERO : nextBatchDelay());
            return;
        }
        LOGGER.atInfo().log("event=store_history_lost prefix=%s as_of=%d outcome=read_again", prefix, asOf);
        listAll(startedGeneration);
    }

    private void watchAfter(long startedGeneration, Duration delay) {
        scheduleIfCurrent(
                startedGeneration,
                () -> {
                    watchLoopActive = false;
                    if (watching) {
                        watch(startedGeneration);
                    }
                },
                delay);
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

    private void scheduleIfCurrent(long startedGeneration, Runnable action, Duration delay) {
        control.scheduleOnce(
                () -> {
                    if (startedGeneration == generation) {
                        action.run();
                    }
                },
                delay);
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
        retryBackoff.reset();
        if (!connected) {
            connected = true;
            LOGGER.atInfo().log("event=dependency_regained dependency=store prefix=%s as_of=%d", prefix, asOf);
        }
    }
}
