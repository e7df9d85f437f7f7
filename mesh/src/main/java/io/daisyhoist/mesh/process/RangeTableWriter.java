package io.daisyhoist.mesh.process;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.daemon.process.ControlExecutor;
import io.daisyhoist.mesh.process.EraMarkers.Marker;
import io.daisyhoist.mesh.process.FleetState.StoredTable;
import io.daisyhoist.mesh.process.TableRecovery.Restoration;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.store.StoreEra;
import io.daisyhoist.mesh.store.StoreUnavailableException;
import io.daisyhoist.mesh.store.Transaction;
import io.daisyhoist.mesh.store.TransactionResult;

/**
 * Writes the assignment table of a service.
 *
 * <p>Invariants: at most one write is in progress, including the read that follows one without a known success; a write that
 * the store does in a later era than the one in which it began fails. Confined to the control thread.
 */
final class RangeTableWriter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetState state;
    private final KeyLeases keyLeases;
    private final MetadataStore store;
    private final ControlExecutor control;
    private final TableRecovery recovery;
    private boolean writing;

    /**
     * Change of the table. Immutable.
     *
     * @param cause cause, for the log
     * @param table new table
     * @param expectedRevision revision of the table that it replaces
     * @param expired daemons that must have stayed unregistered, with the revisions of their creation records
     * @param moves moves that it completes
     * @param eraConditions conditions that fail in a later era of the store
     * @param marker progress of the era after the change, if it is written with the table
     */
    private record TableChange(
            String cause,
            RangeTable table,
            long expectedRevision,
            Map<DaemonId, Long> expired,
            List<RangeMove> moves,
            List<Transaction.Condition> eraConditions,
            Optional<Marker> marker) {
        private String key() {
            return FleetState.rangeKey(table.service());
        }

        private Transaction transaction(String markerKey) {
            List<Transaction.Condition> conditions = new ArrayList<>(eraConditions);
            conditions.add(new Transaction.Condition(key(), expectedRevision));
            List<String> deletes = new ArrayList<>();
            expired.forEach((daemon, creationRevision) -> {
                String creationKey = FleetState.creationKey(daemon);
                conditions.add(new Transaction.Condition(FleetState.memberKey(daemon), Transaction.ABSENT));
                conditions.add(new Transaction.Condition(creationKey, creationRevision));
                deletes.add(creationKey);
            });
            List<Transaction.Write> writes = new ArrayList<>();
            writes.add(new Transaction.Write(key(), FleetJson.write(table), Transaction.NO_LEASE));
            marker.ifPresent(written ->
                    writes.add(new Transaction.Write(markerKey, FleetJson.write(written), Transaction.NO_LEASE)));
            return new Transaction(conditions, writes, deletes);
        }
    }

    RangeTableWriter(
            FleetState state,
            KeyLeases keyLeases,
            MetadataStore store,
            ControlExecutor control,
            TableRecovery recovery) {
        this.state = state;
        this.keyLeases = keyLeases;
        this.store = store;
        this.control = control;
        this.recovery = recovery;
    }

    /** Returns whether a write is in progress. */
    boolean isWriting() {
        return writing;
    }

    /** Writes a table that replaces the one of a revision. */
    void write(String cause, RangeTable table, long expectedRevision) {
        write(cause, table, expectedRevision, Map.of(), List.of());
    }

    /**
     * Writes a table that replaces the one of a revision.
     *
     * @param expired daemons that must have stayed unregistered, with the revisions of their creation records
     * @param moves moves that it completes
     */
    void write(
            String cause, RangeTable table, long expectedRevision, Map<DaemonId, Long> expired, List<RangeMove> moves) {
        write(new TableChange(
                cause, table, expectedRevision, expired, moves, conditions(table.service()), Optional.empty()));
    }

    /** Writes a table and how far it has been restored in the present era. */
    void restore(Restoration restoration) {
        ServiceName service = restoration.table().service();
        List<Transaction.Condition> conditions = new ArrayList<>(conditions(service));
        long markerRevision = recovery.markerRevision(service).orElse(Transaction.ABSENT);
        conditions.add(new Transaction.Condition(markerKey(service, 0), markerRevision));
        write(new TableChange(
                restoration.cause(),
                restoration.table(),
                storedRevision(service),
                Map.of(),
                List.of(),
                conditions,
                Optional.of(restoration.marker())));
    }

    private String markerKey(ServiceName service, int laterEras) {
        return EraMarkers.key(service, state.era().number() + laterEras);
    }

    /** Returns the revision of the table in the present era. */
    private long storedRevision(ServiceName service) {
        return state.table(service)
                .map(StoredTable::revision)
                .filter(revision -> StoreEra.of(revision) == state.era().number())
                .orElse(Transaction.ABSENT);
    }

    /** Returns conditions without which a write that is done in a later era could replace another table. */
    private List<Transaction.Condition> conditions(ServiceName service) {
        return state.era().equals(StoreEra.NONE)
                ? List.of()
                : List.of(new Transaction.Condition(markerKey(service, 1), Transaction.ABSENT));
    }

    private void write(TableChange change) {
        writing = true;
        List<RangeMove> moves = change.moves();
        keyLeases.onWriteStarted(moves);
        String markerKey = markerKey(change.table().service(), 0);
        control.whenComplete(store.commit(change.transaction(markerKey)), (result, failure) -> {
            writing = false;
            String outcome = failure != null
                    ? "unknown"
                    : result instanceof TransactionResult.Committed ? "committed" : "conflict";
            LOGGER.atInfo().log(
                    "event=range_commit service=%s cause=%s expected_revision=%d outcome=%s",
                    change.table().service(), change.cause(), change.expectedRevision(), outcome);
            if (result instanceof TransactionResult.Committed committed) {
                change.marker().ifPresent(marker -> state.eraMarkers().put(markerKey, marker, committed.revision()));
                state.onCommittedTable(change.table(), committed.revision());
                return;
            }
            if (StoreUnavailableException.isCertainlyNotApplied(failure)) {
                keyLeases.onWriteNotApplied(moves);
            }
            refresh(change.table().service());
        });
    }

    /** Reads the table after a conflict or a lost response; a delayed write arrives through the watch. */
    private void refresh(ServiceName service) {
        writing = true;
        CompletableFuture<Void> read = read(FleetState.rangeKey(service));
        if (!recovery.isSettled(service)) {
            read = read.thenCompose(done -> read(markerKey(service, 0)));
        }
        control.whenComplete(read, (done, failure) -> writing = false);
    }

    private CompletableFuture<Void> read(String key) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        control.whenComplete(store.get(key), (item, failure) -> {
            if (failure == null) {
                item.ifPresent(state::onFleetItem);
            }
            done.complete(null);
        });
        return done;
    }
}
