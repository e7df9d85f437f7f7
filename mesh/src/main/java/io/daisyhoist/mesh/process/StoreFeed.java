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
 * Keeps a copy of the items under one prefix of the store.
 *
 * <p>Reads all items, then follows their changes; reads again when the store has forgotten the history. Invariant: the
 * listener hears of each key's changes in the order of their revisions, and never of an older revision after a newer one.
 * Confined to the control thread.
 */
final class StoreFeed {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Short enough that a watch which hangs is noticed, long enough that idle watches cost little. */
    private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

    private static final Duration WATCH_TIMEOUT = WATCH_WAIT.plusSeconds(3);
    private static final Duration RETRY_WAIT = Duration.ofMillis(250);

    /** Changes that follow each other closely are fetched by one call. */
    private static final Duration BATCH_WAIT = Duration.ofMillis(20);

    private final String prefix;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TimeSource time;
    private final Listener listener;
    private final Map<String, StoredItem> items = new HashMap<>();
    private long lastChange;
    private long asOf;
    private boolean connected = true;
    private long round;

    /** Hears of changes, on the control thread. */
    interface Listener {
        /** An item was written. */
        void onItem(StoredItem item);

        /** A key does not exist any more. */
        void onDeleted(String key);

        /** All items as of a read that was sent at the given time have been reported. */
        void onSynchronized(ElapsedTimer sentAt);
    }

    StoreFeed(String prefix, MetadataStore store, ControlExecutor control, TimeSource time, Listener listener) {
        this.prefix = prefix;
        this.store = store;
        this.control = control;
        this.time = time;
        this.listener = listener;
    }

    /** Reads all items, then follows their changes; ends a read or watch that is under way. */
    void reload() {
        round++;
        readAll(round);
    }

    private void readAll(long current) {
        ElapsedTimer sentAt = ElapsedTimer.start(time);
        readPages(Optional.empty(), new ArrayList<>(), Long.MAX_VALUE)
                .whenCompleteAsync(
                        (read, failure) -> {
                            if (current != round) {
                                return;
                            }
                            if (failure != null) {
                                lost(failure);
                                control.scheduleOnce(() -> ifCurrent(current, () -> readAll(current)), RETRY_WAIT);
                                return;
                            }
                            regained();
                            apply(read);
                            listener.onSynchronized(sentAt);
                            watch(current);
                        },
                        control);
    }

    private record Read(List<StoredItem> items, long asOf) {}

    private CompletableFuture<Read> readPages(Optional<String> after, List<StoredItem> pages, long lowestAsOf) {
        return store.range(prefix, after).thenCompose(page -> {
            pages.addAll(page.items());
            // Pages are not a snapshot, so changes since the first page have to be followed.
            long readAsOf = Math.min(lowestAsOf, page.asOf());
            if (!page.hasMore() || page.items().isEmpty()) {
                return CompletableFuture.completedFuture(new Read(pages, readAsOf));
            }
            return readPages(Optional.of(lastKey(page)), pages, readAsOf);
        });
    }

    private static String lastKey(ItemPage page) {
        return page.items().get(page.items().size() - 1).key();
    }

    /** Takes what another daemon has read; it counts as if this daemon had read it. */
    void applyCopy(List<StoredItem> copies, long copiedAsOf) {
        apply(new Read(copies, copiedAsOf));
    }

    /** Returns the items. */
    List<StoredItem> items() {
        return List.copyOf(items.values());
    }

    /** Returns the store revision up to which the items are complete. */
    long asOf() {
        return asOf;
    }

    /** Returns the store revision of the latest change that is known. */
    long lastChange() {
        return lastChange;
    }

    private void apply(Read read) {
        if (read.asOf() < asOf) {
            return;
        }
        List<String> missing = new ArrayList<>(items.keySet());
        for (StoredItem item : read.items()) {
            missing.remove(item.key());
            onItem(item);
        }
        for (String key : missing) {
            if (items.get(key).revision() <= read.asOf()) {
                delete(key, read.asOf());
            }
        }
        asOf = Math.max(asOf, read.asOf());
    }

    private void onItem(StoredItem item) {
        StoredItem known = items.get(item.key());
        if (known == null || known.revision() < item.revision()) {
            items.put(item.key(), item);
            lastChange = Math.max(lastChange, item.revision());
            listener.onItem(item);
        }
    }

    private void watch(long current) {
        store.watch(prefix, asOf, WATCH_WAIT)
                .orTimeout(WATCH_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .whenCompleteAsync(
                        (result, failure) -> {
                            if (current != round) {
                                return;
                            }
                            if (failure != null) {
                                lost(failure);
                                control.scheduleOnce(() -> ifCurrent(current, () -> watch(current)), RETRY_WAIT);
                                return;
                            }
                            regained();
                            onWatched(current, result);
                        },
                        control);
    }

    private void onWatched(long current, WatchResult result) {
        if (result instanceof WatchResult.Changes changes) {
            changes.events().forEach(this::onEvent);
            asOf = Math.max(asOf, changes.asOf());
            if (changes.events().isEmpty()) {
                watch(current);
            } else {
                control.scheduleOnce(() -> ifCurrent(current, () -> watch(current)), BATCH_WAIT);
            }
            return;
        }
        LOGGER.atInfo().log("event=store_history_lost prefix=%s as_of=%d outcome=read_again", prefix, asOf);
        readAll(current);
    }

    private void onEvent(StoreEvent event) {
        // A copy from another daemon may have come while the watch was waiting.
        if (event.revision() <= asOf) {
            return;
        }
        if (event.item().isPresent()) {
            onItem(event.item().get());
            return;
        }
        StoredItem known = items.get(event.key());
        if (known != null && known.revision() <= event.revision()) {
            delete(event.key(), event.revision());
        }
    }

    private void delete(String key, long revision) {
        items.remove(key);
        lastChange = Math.max(lastChange, revision);
        listener.onDeleted(key);
    }

    private void ifCurrent(long current, Runnable action) {
        if (current == round) {
            action.run();
        }
    }

    private void lost(Throwable failure) {
        if (connected) {
            connected = false;
            LOGGER.atWarning().log(
                    "event=dependency_lost dependency=store prefix=%s as_of=%d reason=\"%s\"",
                    prefix, asOf, failure.getMessage());
        }
    }

    private void regained() {
        if (!connected) {
            connected = true;
            LOGGER.atInfo().log("event=dependency_regained dependency=store prefix=%s as_of=%d", prefix, asOf);
        }
    }
}
