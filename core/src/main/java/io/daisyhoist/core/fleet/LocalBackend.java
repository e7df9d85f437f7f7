package io.daisyhoist.core.fleet;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * What the daemon knows of the backend server beside it.
 *
 * <p>Invariants: a heartbeat of an earlier process, or one that is older than another of the same process, changes
 * nothing; a process that has announced its leaving stays leaving. Immutable; each event gives a new value.
 *
 * @param heartbeat latest heartbeat
 * @param heardAt when it arrived
 * @param coldUntilNanos monotonic time until which the process is held to be cold
 * @param leaving whether the process has announced its leaving
 */
public record LocalBackend(BackendHeartbeat heartbeat, ElapsedTimer heardAt, long coldUntilNanos, boolean leaving) {
    /** Result of a heartbeat. */
    public enum Change {
        /** The heartbeat is late or of an earlier process. */
        STALE,
        /** The same process goes on. */
        RENEWED,
        /** A process that was not known before. */
        NEW_PROCESS
    }

    /** Returns how a heartbeat relates to what is known. */
    public static Change classify(Optional<LocalBackend> known, BackendHeartbeat heartbeat) {
        if (known.isEmpty()) {
            return Change.NEW_PROCESS;
        }
        BackendHeartbeat last = known.get().heartbeat;
        if (heartbeat.life().equals(last.life())) {
            return heartbeat.sequence() > last.sequence() ? Change.RENEWED : Change.STALE;
        }
        return heartbeat.life().isAfter(last.life()) ? Change.NEW_PROCESS : Change.STALE;
    }

    /** Returns the state after a heartbeat that is not stale. */
    public static LocalBackend after(Optional<LocalBackend> known, BackendHeartbeat heartbeat, TimeSource time) {
        boolean sameProcess =
                known.map(LocalBackend::life).filter(heartbeat.life()::equals).isPresent();
        boolean leaving = heartbeat.draining() || sameProcess && known.get().leaving;
        long coldUntil = time.monotonicNanos() + heartbeat.coldRemaining().toNanos();
        return new LocalBackend(heartbeat, ElapsedTimer.start(time), coldUntil, leaving);
    }

    /** Returns the state after the process has announced its leaving. */
    public LocalBackend left() {
        return new LocalBackend(heartbeat, heardAt, coldUntilNanos, true);
    }

    /** Returns the process. */
    public BackendLife life() {
        return heartbeat.life();
    }

    /** Returns whether the process is held to be cold. */
    public boolean isCold(TimeSource time) {
        return coldUntilNanos - time.monotonicNanos() > 0;
    }

    /** Returns the time since the last heartbeat. */
    public Duration silence(TimeSource time) {
        return heardAt.elapsed(time);
    }
}
