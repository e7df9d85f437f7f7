package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.store.Decoded;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoredItem;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;

/**
 * Last process of the local backend server that has announced its shutdown, kept in the store for a later process of this
 * daemon: a heartbeat from before the announcement may arrive after a restart of the daemon.
 *
 * <p>Invariants: a recorded process stays recorded until another one is recorded; {@link #recorded} completes only once the
 * store has the process, so that a shutdown is acknowledged only if a later process of this daemon will know it. The item
 * lies outside the prefix that all daemons watch, and its lease ends some time after the last heartbeat that can still
 * arrive. Confined to the control thread.
 */
final class DepartureRecord {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String KEY_PREFIX = "daisyhoist-departures/";

    /** Long against the seconds by which a heartbeat can be late. */
    private static final Duration LIFETIME = Duration.ofMinutes(2);

    private static final Duration RETRY_DELAY = Duration.ofMillis(500);

    private final String key;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final CallbackRunner callbacks;
    private final Runnable onLoaded;
    private Optional<BackendProcessId> departed = Optional.empty();
    private CompletableFuture<Void> written = CompletableFuture.completedFuture(null);

    /**
     * Creates a record that has not been loaded.
     *
     * @param onLoaded called when a process has been read from the store
     */
    DepartureRecord(DaemonId daemon, StoreAccess access, Runnable onLoaded) {
        this.key = KEY_PREFIX + daemon;
        this.store = access.store();
        this.control = access.control();
        this.callbacks = access.callbacks();
        this.onLoaded = onLoaded;
    }

    /** Reads the process that an earlier process of this daemon has recorded; tries again until the store responds. */
    void load() {
        control.whenComplete(store.get(key), (item, failure) -> {
            if (failure != null) {
                control.scheduleOnce(this::load, RETRY_DELAY);
                return;
            }
            item.ifPresent(this::onItem);
        });
    }

    private void onItem(StoredItem item) {
        Decoded<BackendProcessId> decoded = FleetJson.read(item.value(), BackendProcessId.class);
        if (decoded instanceof Decoded.Valid<BackendProcessId> valid && departed.isEmpty()) {
            departed = Optional.of(valid.value());
            LOGGER.atInfo().log("event=departure_known backend=%s revision=%d", valid.value(), item.revision());
            callbacks.run("departure_loaded", key, onLoaded);
        } else if (decoded instanceof Decoded.Rejected<BackendProcessId> rejected) {
            LOGGER.atWarning().log(
                    "event=store_item_ignored key=%s revision=%d reason=\"%s\"",
                    key, item.revision(), rejected.reason());
        }
    }

    /** Returns whether a process has announced its shutdown. */
    boolean contains(BackendProcessId process) {
        return departed.filter(process::equals).isPresent();
    }

    /** Records a process that has announced its shutdown, and writes it to the store. */
    void add(BackendProcessId process) {
        if (!contains(process)) {
            departed = Optional.of(process);
            written = new CompletableFuture<>();
            write(process, written);
        }
    }

    /** Writes the recorded process again after the store has come back from an older copy. */
    void onEra() {
        departed.ifPresent(process -> write(process, written));
    }

    /** Returns a future that completes when the store has a process; completed if the process has announced no shutdown. */
    CompletableFuture<Void> recorded(BackendProcessId process) {
        return contains(process) ? written : CompletableFuture.completedFuture(null);
    }

    private void write(BackendProcessId process, CompletableFuture<Void> done) {
        CompletableFuture<TransactionResult> response = store.createLease(LIFETIME)
                .thenCompose(lease -> store.commit(new Transaction(
                        List.of(),
                        List.of(new Transaction.Write(key, FleetJson.write(process), lease.id())),
                        List.of())));
        control.whenComplete(response, (result, failure) -> {
            if (result instanceof TransactionResult.Committed) {
                done.complete(null);
            } else {
                control.scheduleOnce(() -> writeAgain(process, done), RETRY_DELAY);
            }
        });
    }

    private void writeAgain(BackendProcessId process, CompletableFuture<Void> done) {
        if (contains(process)) {
            write(process, done);
        } else {
            done.completeExceptionally(new IllegalStateException("replaced by another process"));
        }
    }
}
