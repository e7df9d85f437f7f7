package io.daisyhoist.core.fleet;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * State of the daemon's local backend server as last reported.
 *
 * <p>Invariants: a heartbeat of an earlier process, or an earlier or duplicate heartbeat of the same process, is
 * ignored; a process that has announced its shutdown stays leaving. Immutable; each event gives a new value.
 *
 * @param heartbeat latest heartbeat
 * @param lastHeartbeatAt time at which it arrived
 * @param coldUntilNanos monotonic time until which the process counts as cold
 * @param leaving whether the process has announced its shutdown
 */
public record LocalBackend(
        BackendHeartbeat heartbeat, ElapsedTimer lastHeartbeatAt, long coldUntilNanos, boolean leaving) {
    /** Relation of a heartbeat to the known state. */
    public enum Change {
        /** The heartbeat is a duplicate, out of order or from an earlier process. */
        STALE,
        /** The heartbeat is a newer one of the same process. */
        RENEWED,
        /** The heartbeat is from a process that was not known before. */
        NEW_PROCESS
    }

    /** Compares a heartbeat with the known state. */
    public static Change classify(Optional<LocalBackend> known, BackendHeartbeat heartbeat) {
        if (known.isEmpty()) {
            return Change.NEW_PROCESS;
        }
        BackendHeartbeat last = known.get().heartbeat;
        if (heartbeat.process().equals(last.process())) {
            return heartbeat.sequence() > last.sequence() ? Change.RENEWED : Change.STALE;
        }
        return heartbeat.process().startedAfter(last.process()) ? Change.NEW_PROCESS : Change.STALE;
    }

    /** Returns the state after a heartbeat that is not stale. */
    public static LocalBackend afterHeartbeat(
            Optional<LocalBackend> known, BackendHeartbeat heartbeat, TimeSource time) {
        boolean sameProcess = known.map(LocalBackend::process)
                .filter(heartbeat.process()::equals)
                .isPresent();
        boolean leaving = heartbeat.draining() || sameProcess && known.get().leaving;
        long newColdUntilNanos =
                time.monotonicNanos() + heartbeat.coldRemaining().toNanos();
        return new LocalBackend(heartbeat, ElapsedTimer.start(time), newColdUntilNanos, leaving);
    }

    /** Returns the state after the process has announced its shutdown. */
    public LocalBackend asLeaving() {
        return new LocalBackend(heartbeat, lastHeartbeatAt, coldUntilNanos, true);
    }

    public BackendProcessId process() {
        return heartbeat.process();
    }

    /** Returns whether the process counts as cold. */
    public boolean isCold(TimeSource time) {
        return coldUntilNanos - time.monotonicNanos() > 0;
    }

    /** Returns the time since the last heartbeat. */
    public Duration timeSinceHeartbeat(TimeSource time) {
        return lastHeartbeatAt.elapsed(time);
    }
}
