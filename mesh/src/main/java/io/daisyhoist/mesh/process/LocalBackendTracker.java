package io.daisyhoist.mesh.process;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.time.TimeSource;

/**
 * The local backend server as it has reported itself, and the registration of its daemon that follows from that.
 *
 * <p>Invariant: a process that has announced its shutdown, also to an earlier process of this daemon, stays leaving. Confined
 * to the control thread.
 */
final class LocalBackendTracker {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final FleetSettings settings;
    private final long incarnation;
    private final TimeSource time;
    private final DepartureRecord departures;
    private Optional<LocalBackend> backend = Optional.empty();
    private boolean stopping;

    LocalBackendTracker(FleetSettings settings, long incarnation, TimeSource time, DepartureRecord departures) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.time = time;
        this.departures = departures;
    }

    /** Returns the backend server; empty before the first heartbeat. */
    Optional<LocalBackend> backend() {
        return backend;
    }

    /** Handles a heartbeat; returns false if it is older than what is known. */
    boolean onHeartbeat(BackendHeartbeat heartbeat) {
        LocalBackend.Change change = LocalBackend.classify(backend, heartbeat);
        if (change == LocalBackend.Change.STALE) {
            LOGGER.atInfo().log(
                    "event=heartbeat_stale backend=%s sequence=%d known=%s",
                    heartbeat.process(),
                    heartbeat.sequence(),
                    backend.map(LocalBackend::process).orElseThrow());
            return false;
        }
        Optional<LocalBackend> previous = backend;
        LocalBackend reported = LocalBackend.afterHeartbeat(backend, heartbeat, time);
        if (reported.leaving()) {
            departures.add(reported.process());
        }
        LocalBackend current = departures.contains(reported.process()) ? reported.asLeaving() : reported;
        backend = Optional.of(current);
        logChange(previous, current, change);
        return true;
    }

    /**
     * Forgets the backend server if it does not satisfy the condition, so that the next heartbeat of any process is used.
     *
     * @return whether a backend server was forgotten
     */
    boolean forgetUnless(Predicate<LocalBackend> condition) {
        Optional<LocalBackend> forgotten = backend.filter(condition.negate());
        forgotten.ifPresent(known -> {
            LOGGER.atWarning().log(
                    "event=backend_forgotten backend=%s service=%s reason=service_not_configured",
                    known.process(), known.heartbeat().service());
            backend = Optional.empty();
        });
        return forgotten.isPresent();
    }

    private void logChange(Optional<LocalBackend> previous, LocalBackend current, LocalBackend.Change change) {
        boolean changed = change == LocalBackend.Change.NEW_PROCESS
                || previous.filter(known ->
                                known.leaving() == current.leaving() && known.isCold(time) == current.isCold(time))
                        .isEmpty();
        if (changed) {
            LOGGER.atInfo().log(
                    "event=backend_changed change=%s backend=%s sequence=%d service=%s slots=%d leaving=%s cold_ms=%d",
                    change,
                    current.process(),
                    current.heartbeat().sequence(),
                    current.heartbeat().service(),
                    current.heartbeat().slots(),
                    current.leaving(),
                    current.heartbeat().coldRemaining().toMillis());
        }
    }

    /**
     * Handles the announcement of a shutdown; the start time is empty if the announcement does not contain it.
     *
     * @return the process that is leaving; empty if the announcement does not identify it
     */
    Optional<BackendProcessId> onLeaving(String backendId, OptionalLong startedMillis) {
        Optional<LocalBackend> leaving = backend.filter(known -> known.process().matches(backendId, startedMillis));
        backend = leaving.map(LocalBackend::asLeaving).or(() -> backend);
        Optional<BackendProcessId> process =
                leaving.map(LocalBackend::process).or(() -> processId(backendId, startedMillis));
        process.ifPresent(departures::add);
        LOGGER.atInfo().log(
                "event=backend_leaving backend=%s known=%s",
                backendId,
                backend.map(LocalBackend::process).map(Object::toString).orElse("none"));
        return process;
    }

    private static Optional<BackendProcessId> processId(String backendId, OptionalLong startedMillis) {
        return startedMillis.isPresent()
                ? Optional.of(new BackendProcessId(backendId, startedMillis.getAsLong()))
                : Optional.empty();
    }

    /** Applies an announcement that an earlier process of this daemon has recorded. */
    void applyDeparture() {
        backend = backend.map(known -> departures.contains(known.process()) ? known.asLeaving() : known);
    }

    /** Withdraws the backend server from use by other daemons, because this daemon is stopping. */
    void stopAccepting() {
        stopping = true;
    }

    boolean isStopping() {
        return stopping;
    }

    /** Returns the registration of this daemon. */
    FleetMember member() {
        Optional<FleetMember.MemberBackend> memberBackend = backend.map(known -> new FleetMember.MemberBackend(
                known.process().id(),
                known.process().startedMillis(),
                known.heartbeat().slots(),
                !known.leaving() && !stopping));
        return new FleetMember(
                settings.daemon(),
                incarnation,
                settings.zone(),
                settings.peerAddress().host(),
                settings.peerAddress().port(),
                backend.map(known -> known.heartbeat().service()).orElse(settings.service()),
                memberBackend);
    }
}
