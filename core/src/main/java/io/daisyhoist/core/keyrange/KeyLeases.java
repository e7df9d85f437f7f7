package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Grants key leases to the local backend server and revokes keys before they move.
 *
 * <p>Invariants: keys are granted only if the table assigns them to this daemon and to the process that sent the
 * heartbeat, while the {@link RegistrationLease} is valid, and never while a move of them is pending. A move is ready
 * only when a heartbeat sent after the revocation no longer lists the keys, or when all granted leases have expired.
 * Confined to one thread.
 */
public final class KeyLeases {
    private static final int MAX_RELEASED_RANGES = 1024;

    private final TimeSource time;
    private final DaemonId self;
    private final RegistrationLease registrationLease;
    private final List<PendingMove> pendingMoves = new ArrayList<>();
    private final List<ReleasedRange> releasedRanges = new ArrayList<>();
    private final List<KeyRange> reclaimedRanges = new ArrayList<>();
    private Optional<BackendProcessId> currentProcess = Optional.empty();
    private List<GrantedRange> grantedRanges = List.of();
    private long leasesExpireNanos;

    /** A move whose keys are being revoked or have been revoked. */
    private static final class PendingMove {
        private final RangeMove move;
        private long revokedAtSequence = Long.MAX_VALUE;
        private boolean ready;
        private int pendingWrites;

        private PendingMove(RangeMove move) {
            this.move = move;
        }
    }

    /**
     * Keys granted in reply to a heartbeat. Immutable.
     *
     * @param ranges the complete set of granted key ranges
     * @param leaseDuration duration of the lease, from the sending of the heartbeat
     */
    public record Reply(List<GrantedRange> ranges, Duration leaseDuration) {}

    /**
     * Creates the leases of a daemon process that has just started.
     *
     * @param maxEarlierLease longest lease that an earlier process of this daemon may have granted
     */
    public KeyLeases(TimeSource time, DaemonId self, RegistrationLease registrationLease, Duration maxEarlierLease) {
        this.time = time;
        this.self = self;
        this.registrationLease = registrationLease;
        this.leasesExpireNanos =
                time.monotonicNanos() + withClockDrift(maxEarlierLease).toNanos();
    }

    /** Handles a heartbeat that is not stale. */
    public void onHeartbeat(BackendHeartbeat heartbeat) {
        if (currentProcess.isPresent() && !currentProcess.get().equals(heartbeat.process())) {
            onNewProcess();
        }
        currentProcess = Optional.of(heartbeat.process());
        releasedRanges.addAll(heartbeat.releasedRanges());
        while (releasedRanges.size() > MAX_RELEASED_RANGES) {
            releasedRanges.remove(0);
        }
        for (PendingMove pending : pendingMoves) {
            boolean held = heartbeat.heldRanges().stream()
                    .anyMatch(heldRange -> heldRange.range().overlaps(pending.move.range()));
            pending.ready |= heartbeat.sequence() > pending.revokedAtSequence && !held;
        }
    }

    /**
     * Resets the state after a restart of the backend server: the earlier process has ended and holds nothing. Not
     * called for the first known process, which may hold keys granted by an earlier process of this daemon.
     */
    private void onNewProcess() {
        releasedRanges.clear();
        pendingMoves.clear();
        reclaimedRanges.clear();
        grantedRanges = List.of();
        leasesExpireNanos = time.monotonicNanos();
    }

    /**
     * Computes the keys granted in reply to a heartbeat.
     *
     * @param heartbeat the heartbeat to reply to
     * @param table the assignments as last read from the store
     * @return empty if no lease may be granted or renewed
     */
    public Optional<Reply> reply(BackendHeartbeat heartbeat, RangeTable table) {
        Optional<Duration> duration = registrationLease.grantableLease();
        if (duration.isEmpty()) {
            return Optional.empty();
        }
        List<GrantedRange> ranges = new ArrayList<>();
        for (RangeAssignment assignment : table.assignments()) {
            if (assignment.belongsTo(self, heartbeat.process())) {
                for (KeyRange part : withoutPendingMoves(assignment.range())) {
                    ranges.addAll(grantsFor(part, assignment));
                }
            }
        }
        for (PendingMove pending : pendingMoves) {
            pending.revokedAtSequence = Math.min(pending.revokedAtSequence, heartbeat.sequence());
        }
        grantedRanges = List.copyOf(ranges);
        leasesExpireNanos = Math.max(
                leasesExpireNanos,
                time.monotonicNanos() + withClockDrift(duration.get()).toNanos());
        return Optional.of(new Reply(grantedRanges, duration.get()));
    }

    /** Grants keys released for a cancelled move again, with the handover token issued on their release. */
    private List<GrantedRange> grantsFor(KeyRange part, RangeAssignment assignment) {
        List<GrantedRange> grants = new ArrayList<>();
        List<KeyRange> rest = List.of(part);
        for (KeyRange reclaimed : reclaimedRanges) {
            KeyRanges.intersect(part, reclaimed)
                    .ifPresent(keys -> grants.add(new GrantedRange(
                            keys, assignment.fence(), handoverToken(keys).orElse(assignment.handoverToken()))));
            List<KeyRange> next = new ArrayList<>();
            rest.forEach(keys -> next.addAll(KeyRanges.subtract(keys, reclaimed)));
            rest = next;
        }
        rest.forEach(keys -> grants.add(new GrantedRange(keys, assignment.fence(), assignment.handoverToken())));
        return grants;
    }

    private List<KeyRange> withoutPendingMoves(KeyRange range) {
        List<KeyRange> parts = List.of(range);
        for (PendingMove pending : pendingMoves) {
            List<KeyRange> next = new ArrayList<>();
            parts.forEach(part -> next.addAll(KeyRanges.subtract(part, pending.move.range())));
            parts = next;
        }
        return parts;
    }

    /** Returns the parts of assignments for which no move is pending. */
    public List<RangeAssignment> withoutPendingMoves(List<RangeAssignment> assignments) {
        List<RangeAssignment> result = new ArrayList<>();
        assignments.forEach(assignment ->
                withoutPendingMoves(assignment.range()).forEach(part -> result.add(assignment.within(part))));
        return result;
    }

    /** Starts to revoke the keys of a move; ignored if it overlaps a pending move. */
    public void startMove(RangeMove move) {
        if (pendingMoves.stream().noneMatch(pending -> pending.move.range().overlaps(move.range()))) {
            pendingMoves.add(new PendingMove(move));
            reclaimedRanges.removeIf(keys -> keys.overlaps(move.range()));
        }
    }

    /**
     * Cancels moves that are no longer valid and have no pending write to the store; their keys are granted again if
     * the table still assigns them.
     */
    public void retainMoves(Predicate<RangeMove> valid) {
        for (Iterator<PendingMove> it = pendingMoves.iterator(); it.hasNext(); ) {
            PendingMove pending = it.next();
            if (pending.pendingWrites == 0 && !valid.test(pending.move)) {
                it.remove();
                reclaimedRanges.add(pending.move.range());
            }
        }
    }

    /** Records that a write of moves to the store has started. */
    public void onWriteStarted(List<RangeMove> writtenMoves) {
        pendingMoves.forEach(pending -> pending.pendingWrites += writtenMoves.contains(pending.move) ? 1 : 0);
    }

    /**
     * Records that a write of moves has not been applied and never will be. A write with an unknown outcome stays
     * pending until {@link #resolveMoves}.
     */
    public void onWriteNotApplied(List<RangeMove> unappliedMoves) {
        pendingMoves.forEach(pending -> pending.pendingWrites -= unappliedMoves.contains(pending.move) ? 1 : 0);
    }

    /** Returns whether a move is pending. */
    public boolean hasMoves() {
        return !pendingMoves.isEmpty();
    }

    /**
     * Returns the moves whose keys the backend server no longer holds.
     *
     * <p>A write to the store can take effect late, so the keys of a move whose write has started stay revoked until
     * {@link #resolveMoves}.
     */
    public List<RangeMove> readyMoves() {
        boolean expired = allLeasesExpired();
        pendingMoves.forEach(pending -> pending.ready |= expired);
        return pendingMoves.stream()
                .filter(pending -> pending.ready)
                .map(pending -> pending.move)
                .toList();
    }

    /** Removes moves that the store has applied or whose outcome has been read from the store. */
    public void resolveMoves(List<RangeMove> resolvedMoves) {
        for (Iterator<PendingMove> it = pendingMoves.iterator(); it.hasNext(); ) {
            RangeMove move = it.next().move;
            if (resolvedMoves.contains(move)) {
                releasedRanges.removeIf(range -> move.range().contains(range.range()));
                it.remove();
            }
        }
    }

    /** Returns the handover token issued for a range; empty if no single token covers all of its keys. */
    public Optional<String> handoverToken(KeyRange range) {
        for (int i = releasedRanges.size() - 1; i >= 0; i--) {
            if (releasedRanges.get(i).range().contains(range)) {
                return Optional.of(releasedRanges.get(i).handoverToken());
            }
        }
        return Optional.empty();
    }

    /**
     * Splits a range into parts released with one handover token each, latest release first; keys without a token come
     * last.
     */
    public List<KeyRange> splitByHandoverToken(KeyRange range) {
        List<KeyRange> parts = new ArrayList<>();
        List<KeyRange> rest = List.of(range);
        for (int i = releasedRanges.size() - 1; i >= 0; i--) {
            List<KeyRange> next = new ArrayList<>();
            for (KeyRange part : rest) {
                KeyRanges.intersect(part, releasedRanges.get(i).range()).ifPresent(parts::add);
                next.addAll(KeyRanges.subtract(part, releasedRanges.get(i).range()));
            }
            rest = next;
        }
        parts.addAll(rest);
        return parts;
    }

    /** Returns whether all leases granted so far have expired. */
    public boolean allLeasesExpired() {
        return leasesExpireNanos - time.monotonicNanos() <= 0;
    }

    /** Returns the key ranges granted by the last reply; empty if the leases have expired. */
    public List<GrantedRange> grantedRanges() {
        return allLeasesExpired() ? List.of() : grantedRanges;
    }

    private static Duration withClockDrift(Duration duration) {
        return Duration.ofNanos((long) (duration.toNanos() * (1 + RegistrationLease.MAX_CLOCK_DRIFT)));
    }
}
