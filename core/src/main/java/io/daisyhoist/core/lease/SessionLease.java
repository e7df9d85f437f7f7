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
 * Lease of one session, as seen by its owner.
 *
 * <p>Invariant: the lease is valid only while a majority of the current witnesses have promised not to fence the
 * session. While the outcome of a change of witnesses is unknown, a majority of both the current and the proposed
 * witnesses is required (joint majority), because either list may be in force. Not thread-safe; the control thread
 * publishes {@link #snapshot()}.
 */
public final class SessionLease {
    private static final Comparator<ElapsedTimer> LATEST_FIRST =
            Comparator.comparingLong(ElapsedTimer::startNanos).reversed();

    private final SessionId session;
    private final LeaseSettings settings;
    private final Map<ProcessId, ElapsedTimer> latestSendByWitness = new HashMap<>();
    private List<ProcessId> witnesses = List.of();
    private Optional<List<ProcessId>> proposedWitnesses = Optional.empty();
    private List<ProcessId> heartbeatTargets = List.of();
    private LeaseSnapshot snapshot = LeaseSnapshot.NONE;

    public SessionLease(SessionId session, LeaseSettings settings) {
        this.session = session;
        this.settings = settings;
    }

    public SessionId session() {
        return session;
    }

    /** Sets the witnesses listed by the current group record. */
    public void setWitnesses(List<ProcessId> listedWitnesses) {
        witnesses = List.copyOf(listedWitnesses);
        recompute();
    }

    /**
     * Also requires a majority of the proposed witnesses, from before the change is sent until its outcome is known.
     */
    public void startChange(List<ProcessId> proposed) {
        proposedWitnesses = Optional.of(List.copyOf(proposed));
        recompute();
    }

    /** Ends the requirement of {@link #startChange}; the caller must first set the current witnesses. */
    public void finishChange() {
        proposedWitnesses = Optional.empty();
        recompute();
    }

    /** Returns the processes to which heartbeats are sent: the current and the proposed witnesses. */
    public List<ProcessId> heartbeatTargets() {
        return heartbeatTargets;
    }

    /**
     * Records a witness's acknowledgement.
     *
     * @param sentAt time at which the acknowledged heartbeat was sent
     */
    public void acknowledge(ProcessId witness, ElapsedTimer sentAt) {
        if (heartbeatTargets.contains(witness)) {
            latestSendByWitness.merge(
                    witness, sentAt, (known, update) -> update.startNanos() > known.startNanos() ? update : known);
            snapshot = computeSnapshot();
        }
    }

    /** Returns the time at which the latest acknowledged heartbeat was sent to a witness. */
    public Optional<ElapsedTimer> latestSend(ProcessId witness) {
        return Optional.ofNullable(latestSendByWitness.get(witness));
    }

    /** Returns an immutable snapshot of the lease, which other threads may read. */
    public LeaseSnapshot snapshot() {
        return snapshot;
    }

    private void recompute() {
        Set<ProcessId> allWitnesses = new LinkedHashSet<>(witnesses);
        proposedWitnesses.ifPresent(allWitnesses::addAll);
        heartbeatTargets = List.copyOf(allWitnesses);
        latestSendByWitness.keySet().retainAll(heartbeatTargets);
        snapshot = computeSnapshot();
    }

    private LeaseSnapshot computeSnapshot() {
        Optional<LeaseSnapshot.Deadline> current = deadline(witnesses);
        if (proposedWitnesses.isEmpty()) {
            return new LeaseSnapshot(current);
        }
        Optional<LeaseSnapshot.Deadline> proposed = deadline(proposedWitnesses.get());
        return new LeaseSnapshot(current.flatMap(first -> proposed.map(second -> earlier(first, second))));
    }

    /** Returns the size of a majority of the given number of witnesses. */
    public static int majority(int witnesses) {
        return witnesses / 2 + 1;
    }

    private Optional<LeaseSnapshot.Deadline> deadline(List<ProcessId> listedWitnesses) {
        List<ElapsedTimer> latestSends = listedWitnesses.stream()
                .filter(latestSendByWitness::containsKey)
                .map(latestSendByWitness::get)
                .sorted(LATEST_FIRST)
                .toList();
        int majoritySize = majority(listedWitnesses.size());
        if (listedWitnesses.isEmpty() || latestSends.size() < majoritySize) {
            return Optional.empty();
        }
        // The same set of witnesses must be within the TTL on both clocks, hence the earliest deadline of the set on
        // each.
        return latestSends.subList(0, majoritySize).stream()
                .map(this::deadlineOf)
                .reduce(SessionLease::earlier);
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
