package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.keyrange.RangeClaims;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.keyrange.RegistrationLease;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.process.EraMarkers.Marker;
import io.daisyhoist.mesh.process.EraMarkers.StoredMarker;
import io.daisyhoist.mesh.process.FleetState.StoredTable;
import io.daisyhoist.mesh.store.StoreEra;

/**
 * Restores the assignment table of the local service when a new era of the store may have lost a part of it.
 *
 * <p>A daemon whose registration was confirmed recently claims the assignments that it knew, except for keys with a pending
 * move, and goes on granting them; nobody else can hold these keys. It writes its claims before a confirmation of the new era
 * extends its leases. Other keys are granted only once the table is settled: when all leases that were confirmed in earlier
 * eras only have expired. Tokens issued from then on are above all earlier ones. Confined to the control thread.
 */
final class TableRecovery {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Leases that were confirmed in an earlier era only have expired by then. */
    private static final Duration SETTLE_DELAY = FleetControl.MEMBER_EXPIRY;

    /** Leaves the write to the coordinator, unless it has learned of the era much later. */
    private static final Duration OTHERS_DELAY = Duration.ofMillis(500);

    /** Leaves the first write of an era to the coordinator if all claims of this daemon are in the table already. */
    private static final Duration MARKER_DELAY = Duration.ofSeconds(2);

    /** Far more tokens than can be issued in the seconds that a copy of the store lacks. */
    private static final long FENCE_MARGIN = 1_000_000;

    private final DaemonId self;
    private final FleetState state;
    private final KeyLeases keyLeases;
    private final RegistrationLease registrationLease;
    private final TimeSource time;
    private RangeClaims claims = RangeClaims.NONE;
    private Optional<RangeTable> earlierTable = Optional.empty();
    private boolean known;
    private boolean listed;
    private long eraSinceNanos;

    /**
     * Write of the table that is due in this era. Immutable.
     *
     * @param cause cause, for the log
     * @param table new table
     * @param marker progress of the era after the write
     */
    record Restoration(String cause, RangeTable table, Marker marker) {}

    TableRecovery(
            DaemonId self,
            FleetState state,
            KeyLeases keyLeases,
            RegistrationLease registrationLease,
            TimeSource time) {
        this.self = self;
        this.state = state;
        this.keyLeases = keyLeases;
        this.registrationLease = registrationLease;
        this.time = time;
        this.eraSinceNanos = time.monotonicNanos();
    }

    /**
     * Handles an era, before anything is read in it.
     *
     * @param service service of the local backend server
     * @param fenced whether delayed writes of an earlier process of this daemon can no longer change a table
     */
    void onEra(StoreEra era, ServiceName service, Predicate<StoredTable> fenced) {
        if (known) {
            boolean continuing = registrationLease.isConfirmedWithin(FleetControl.REGISTRATION_LEASE_DURATION);
            // Nobody else can have learned of a move that has not been sent to the store.
            keyLeases.retainMoves(move -> false);
            claims = grantable(service)
                    .filter(stored -> continuing && fenced.test(stored))
                    .map(stored -> claimsOf(stored.table()))
                    .orElse(RangeClaims.NONE);
            earlierTable = state.table(service).map(StoredTable::table);
            LOGGER.atInfo().log(
                    "event=ranges_claimed service=%s era=%d claims=%d continuing=%s",
                    service, era.number(), claims.assignments().size(), continuing);
        }
        known = true;
        listed = false;
        eraSinceNanos = time.monotonicNanos();
        state.onEra(era);
    }

    private RangeClaims claimsOf(RangeTable table) {
        List<RangeAssignment> own = keyLeases.withoutPendingMoves(table.assignmentsOf(self));
        return own.isEmpty() ? RangeClaims.NONE : new RangeClaims(own, table.lastFence());
    }

    /** Handles a complete listing of the daemons' items in the present era. */
    void onListed() {
        listed = true;
    }

    /** Returns whether the daemons' items have been read in the present era. */
    boolean isListed() {
        return listed;
    }

    /** Returns whether the table is that of the present era, so that it may be changed and keys be granted by it. */
    boolean isSettled(ServiceName service) {
        if (state.era().equals(StoreEra.NONE)) {
            return true;
        }
        Optional<StoredMarker> marker =
                marker(service).filter(stored -> stored.marker().settled());
        return marker.isPresent()
                && state.table(service)
                        .filter(table -> table.revision() >= marker.get().revision())
                        .isPresent();
    }

    private Optional<StoredMarker> marker(ServiceName service) {
        return state.eraMarkers().find(service, state.era());
    }

    /** Returns the store revision that the marker must have when the table is written. */
    Optional<Long> markerRevision(ServiceName service) {
        return marker(service).map(StoredMarker::revision);
    }

    /** Returns the table by which keys may be granted now. */
    Optional<StoredTable> grantable(ServiceName service) {
        Optional<StoredTable> stored = state.table(service);
        if (isSettled(service)) {
            return stored.map(this::withoutOutdated);
        }
        return claims.isEmpty()
                ? Optional.empty()
                : stored.map(table -> new StoredTable(
                        new RangeTable(service, claims.lastFence(), claims.assignments()), table.revision()));
    }

    private StoredTable withoutOutdated(StoredTable stored) {
        RangeTable table = stored.table();
        if (table.assignments().stream().noneMatch(assignment -> isOutdated(table, assignment))) {
            return stored;
        }
        List<RangeAssignment> current = table.assignments().stream()
                .filter(assignment -> !isOutdated(table, assignment))
                .toList();
        return new StoredTable(new RangeTable(table.service(), table.lastFence(), current), stored.revision());
    }

    /** Returns whether own keys may have been held under a higher token in an earlier era. */
    boolean isOutdated(RangeTable table, RangeAssignment assignment) {
        long lastEarlierFence = marker(table.service())
                .map(stored -> stored.marker().lastEarlierFence())
                .orElse(0L);
        return assignment.daemon().equals(self)
                && assignment.fence() <= lastEarlierFence
                && !claims.contain(assignment);
    }

    /** Returns whether a confirmed registration may extend the leases: the store has all that this daemon grants. */
    boolean mayConfirm(ServiceName service) {
        return isSettled(service) || claims.isEmpty() || areClaimsWritten(service);
    }

    private boolean areClaimsWritten(ServiceName service) {
        return listed
                && marker(service).isPresent()
                && storedTable(service).filter(claims::areIn).isPresent();
    }

    /** Returns the table that the store has in the present era. */
    private Optional<RangeTable> storedTable(ServiceName service) {
        return state.table(service)
                .filter(stored -> StoreEra.of(stored.revision()) == state.era().number())
                .map(StoredTable::table)
                .filter(table -> !table.assignments().isEmpty());
    }

    /** Returns the newest known table while it is not settled. */
    Optional<RangeTable> unsettledTable(ServiceName service) {
        return storedTable(service).or(() -> earlierTable);
    }

    /** Returns the write that is due while the table is not settled. */
    Optional<Restoration> restoration(ServiceName service, boolean coordinator) {
        Optional<RangeTable> base = unsettledTable(service);
        if (base.isEmpty()) {
            return Optional.empty();
        }
        RangeTable restored = claims.applyTo(base.get());
        if (!claims.isEmpty() && !areClaimsWritten(service)) {
            boolean onlyMarkerMissing =
                    storedTable(service).filter(claims::areIn).isPresent();
            if (onlyMarkerMissing && !coordinator && eraAge().compareTo(MARKER_DELAY) < 0) {
                return Optional.empty();
            }
            return Optional.of(new Restoration("era_claims", restored, new Marker(false, 0)));
        }
        return isSettleDue(coordinator) ? Optional.of(settle(restored)) : Optional.empty();
    }

    /** Returns the write of the first table, if the store has none. */
    Optional<Restoration> firstTable(RangeTable initial, Duration freshDelay) {
        if (state.isRestored()) {
            return isSettleDue(true) ? Optional.of(settle(initial)) : Optional.empty();
        }
        return eraAge().compareTo(freshDelay) < 0
                ? Optional.empty()
                : Optional.of(new Restoration("first_table", initial, new Marker(true, 0)));
    }

    private static Restoration settle(RangeTable table) {
        long fence = table.lastFence() + FENCE_MARGIN;
        return new Restoration(
                "era_settled", new RangeTable(table.service(), fence, table.assignments()), new Marker(true, fence));
    }

    private boolean isSettleDue(boolean coordinator) {
        return eraAge().compareTo(coordinator ? SETTLE_DELAY : SETTLE_DELAY.plus(OTHERS_DELAY)) > 0;
    }

    private Duration eraAge() {
        return Duration.ofNanos(time.monotonicNanos() - eraSinceNanos);
    }
}
