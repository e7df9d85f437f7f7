package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Measures for how long daemons have had no entry in the store.
 *
 * <p>A daemon writes its creation record whenever it creates its entry, in the same transaction. If the record has one
 * revision at the start and at the end of a time span and the entry is absent at both, the daemon was not registered in
 * between, whether or not this daemon could see the store all the while. Invariant: a time span starts only after the store
 * has been seen without the entry, and ends when the creation record changes. Confined to the control thread.
 */
final class AbsenceClock {
    private final TimeSource time;
    private final Map<DaemonId, Absence> absences = new HashMap<>();

    /**
     * Absence of a daemon.
     *
     * @param creationRevision store revision of its creation record, or {@code Transaction.ABSENT}
     * @param sinceNanos monotonic time at which the absence was first seen
     */
    private record Absence(long creationRevision, long sinceNanos) {}

    AbsenceClock(TimeSource time) {
        this.time = time;
    }

    /**
     * Updates the absences; to be called several times per second.
     *
     * @param absentDaemons all daemons of interest that have no entry in the known state of the store
     * @param creationRevisions store revision of the creation record of a daemon, in the same state
     */
    void update(Set<DaemonId> absentDaemons, ToLongFunction<DaemonId> creationRevisions) {
        absences.keySet().retainAll(absentDaemons);
        for (DaemonId daemon : absentDaemons) {
            long revision = creationRevisions.applyAsLong(daemon);
            Absence known = absences.get(daemon);
            if (known == null || known.creationRevision() != revision) {
                absences.put(daemon, new Absence(revision, time.monotonicNanos()));
            }
        }
    }

    /** Returns the daemons that have been absent for longer than a limit, with the revisions of their creation records. */
    Map<DaemonId, Long> absentLongerThan(Duration limit) {
        Map<DaemonId, Long> result = new HashMap<>();
        absences.forEach((daemon, absence) -> {
            if (time.monotonicNanos() - absence.sinceNanos() > limit.toNanos()) {
                result.put(daemon, absence.creationRevision());
            }
        });
        return result;
    }
}
