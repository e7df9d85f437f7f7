package io.daisyhoist.core.lease;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;

/**
 * Owner side of one session's lease.
 *
 * <p>Invariant: the lease is valid only while a majority of the witnesses in force have promised not to fence the
 * session. While a change of witnesses is undecided, that holds for the old and for the new list, because either may be
 * the one in force. Not thread-safe; the control thread publishes {@link #snapshot()}.
 */
public final class SessionLease {
    private static final Comparator<ElapsedTimer> LATEST_FIRST =
            Comparator.comparingLong(ElapsedTimer::startNanos).reversed();

    private final SessionId session;
    private final LeaseSettings settings;
    private final Map<ProcessId, ElapsedTimer> latestSend = new HashMap<>();
    private List<ProcessId> witnesses = List.of();
    private Optional<List<ProcessId>> proposedWitnesses = Optional.empty();
    private List<ProcessId> targets = List.of();
    private LeaseSnapshot snapshot = LeaseSnapshot.NONE;

    public SessionLease(SessionId session, LeaseSettings settings) {
        this.session = session;
        this.settings = settings;
    }

    /** Returns the session that holds the lease. */
    public SessionId session() {
        return session;
    }

    /** Sets the witnesses that the record in force lists. */
    public void setWitnesses(List<ProcessId> listed) {
        witnesses = List.copyOf(listed);
        update();
    }

    /** Requires a majority of these witnesses as well, from before the change is sent until its outcome is known. */
    public void startChange(List<ProcessId> proposed) {
        proposedWitnesses = Optional.of(List.copyOf(proposed));
        update();
    }

    /** Ends the requirement of {@link #startChange}; the caller sets the list in force first. */
    public void finishChange() {
        proposedWitnesses = Optional.empty();
        update();
    }

    /** Returns the processes to which heartbeats go: the witnesses in force and the proposed ones. */
    public List<ProcessId> targets() {
        return targets;
    }

    /**
     * Records a witness's acknowledgement.
     *
     * @param sentAt when the acknowledged heartbeat was sent
     */
    public void acknowledge(ProcessId witness, ElapsedTimer sentAt) {
        if (targets.contains(witness)) {
            latestSend.merge(
                    witness, sentAt, (known, update) -> update.startNanos() > known.startNanos() ? update : known);
            snapshot = compute();
        }
    }

    /** Returns when the latest acknowledged heartbeat to a witness was sent. */
    public Optional<ElapsedTimer> latestSend(ProcessId witness) {
        return Optional.ofNullable(latestSend.get(witness));
    }

    /** Returns the deadline as it stands now. */
    public LeaseSnapshot snapshot() {
        return snapshot;
    }

    private void update() {
        Set<ProcessId> wanted = new LinkedHashSet<>(witnesses);
        proposedWitnesses.ifPresent(wanted::addAll);
        targets = List.copyOf(wanted);
        latestSend.keySet().retainAll(targets);
        snapshot = compute();
    }

    private LeaseSnapshot compute() {
        Optional<LeaseSnapshot.Deadline> current = deadline(witnesses);
        if (proposedWitnesses.isEmpty()) {
            return new LeaseSnapshot(current);
        }
        Optional<LeaseSnapshot.Deadline> proposed = deadline(proposedWitnesses.get());
        return new LeaseSnapshot(current.flatMap(first -> proposed.map(second -> earlier(first, second))));
    }

    /** Returns how many of a number of witnesses are a majority. */
    public static int majority(int witnesses) {
        return witnesses / 2 + 1;
    }

    private Optional<LeaseSnapshot.Deadline> deadline(List<ProcessId> listed) {
        List<ElapsedTimer> sends = listed.stream()
                .filter(latestSend::containsKey)
                .map(latestSend::get)
                .sorted(LATEST_FIRST)
                .toList();
        int needed = majority(listed.size());
        if (listed.isEmpty() || sends.size() < needed) {
            return Optional.empty();
        }
        // One set of witnesses must be within the ttl on both clocks, hence the earliest wall time of the same set.
        return sends.subList(0, needed).stream().map(this::deadlineOf).reduce(SessionLease::earlier);
    }

    private LeaseSnapshot.Deadline deadlineOf(ElapsedTimer sentAt) {
        return new LeaseSnapshot.Deadline(
                sentAt.startNanos() + settings.ownerValidity().toNanos(),
                sentAt.startWall().plus(settings.ownerValidity()));
    }

    private static LeaseSnapshot.Deadline earlier(LeaseSnapshot.Deadline first, LeaseSnapshot.Deadline second) {
        return new LeaseSnapshot.Deadline(
                Math.min(first.monotonicNanos(), second.monotonicNanos()),
                first.wall().isBefore(second.wall()) ? first.wall() : second.wall());
    }
}
