package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendLife;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.TimeSource;

/**
 * Grants keys to the backend server beside this daemon and takes them back before they move.
 *
 * <p>Invariants: keys are granted only if the table assigns them to this daemon and to the process that sent the
 * heartbeat, while the {@link HoldRight} lasts, and never while they are being moved; a move is ready only when a
 * heartbeat sent after the grant was withdrawn no longer lists the keys, or when every hold given has ended. Confined to
 * one thread.
 */
public final class KeyHolds {
    private static final int MAX_RELEASED = 1024;

    private final TimeSource time;
    private final DaemonId self;
    private final HoldRight right;
    private final List<PendingMove> moves = new ArrayList<>();
    private final List<ReleasedRange> released = new ArrayList<>();
    private final List<KeyRange> takenBack = new ArrayList<>();
    private Optional<BackendLife> life = Optional.empty();
    private List<GrantedRange> granted = List.of();
    private long holdsEndNanos;

    /** A move with what is known of its withdrawal. */
    private static final class PendingMove {
        private final RangeMove move;
        private long withdrawnAtSequence = Long.MAX_VALUE;
        private boolean ready;
        private int openWrites;

        private PendingMove(RangeMove move) {
            this.move = move;
        }
    }

    /**
     * Reply to a heartbeat as far as keys are concerned. Immutable.
     *
     * @param ranges all that the backend server is to hold
     * @param hold how long, from the sending of the heartbeat
     */
    public record Reply(List<GrantedRange> ranges, Duration hold) {}

    /**
     * Creates holds for a process that has just started.
     *
     * @param earlierHolds longest hold that an earlier process of this daemon may have given
     */
    public KeyHolds(TimeSource time, DaemonId self, HoldRight right, Duration earlierHolds) {
        this.time = time;
        this.self = self;
        this.right = right;
        this.holdsEndNanos = time.monotonicNanos() + withDrift(earlierHolds).toNanos();
    }

    /** Learns of a heartbeat that is not stale. */
    public void onHeartbeat(BackendHeartbeat heartbeat) {
        if (life.isPresent() && !life.get().equals(heartbeat.life())) {
            onNewProcess();
        }
        life = Optional.of(heartbeat.life());
        released.addAll(heartbeat.released());
        while (released.size() > MAX_RELEASED) {
            released.remove(0);
        }
        for (PendingMove pending : moves) {
            boolean held =
                    heartbeat.holds().stream().anyMatch(hold -> hold.range().overlaps(pending.move.range()));
            pending.ready |= heartbeat.sequence() > pending.withdrawnAtSequence && !held;
        }
    }

    /** The former process has ended and holds nothing; one that this daemon meets first may hold keys of before. */
    private void onNewProcess() {
        released.clear();
        moves.clear();
        takenBack.clear();
        granted = List.of();
        holdsEndNanos = time.monotonicNanos();
    }

    /**
     * Decides what the backend server is to hold.
     *
     * @param heartbeat the heartbeat to reply to
     * @param table the assignments as last read from the store
     * @return empty when nothing may be renewed
     */
    public Optional<Reply> reply(BackendHeartbeat heartbeat, RangeTable table) {
        Optional<Duration> hold = right.hold();
        if (hold.isEmpty()) {
            return Optional.empty();
        }
        List<GrantedRange> ranges = new ArrayList<>();
        for (RangeAssignment assignment : table.assignments()) {
            if (assignment.belongsTo(self, heartbeat.life())) {
                for (KeyRange part : withoutMoves(assignment.range())) {
                    ranges.addAll(grants(part, assignment));
                }
            }
        }
        for (PendingMove pending : moves) {
            pending.withdrawnAtSequence = Math.min(pending.withdrawnAtSequence, heartbeat.sequence());
        }
        granted = List.copyOf(ranges);
        holdsEndNanos = Math.max(
                holdsEndNanos, time.monotonicNanos() + withDrift(hold.get()).toNanos());
        return Optional.of(new Reply(granted, hold.get()));
    }

    /** Keys that were given up for a move that was dropped come back under the token with which they were released. */
    private List<GrantedRange> grants(KeyRange part, RangeAssignment assignment) {
        List<GrantedRange> grants = new ArrayList<>();
        List<KeyRange> rest = List.of(part);
        for (KeyRange back : takenBack) {
            KeyRanges.intersect(part, back)
                    .ifPresent(keys -> grants.add(new GrantedRange(
                            keys, assignment.fence(), handoverToken(keys).orElse(assignment.handoverToken()))));
            List<KeyRange> next = new ArrayList<>();
            rest.forEach(keys -> next.addAll(KeyRanges.subtract(keys, back)));
            rest = next;
        }
        rest.forEach(keys -> grants.add(new GrantedRange(keys, assignment.fence(), assignment.handoverToken())));
        return grants;
    }

    private List<KeyRange> withoutMoves(KeyRange range) {
        List<KeyRange> parts = List.of(range);
        for (PendingMove pending : moves) {
            List<KeyRange> next = new ArrayList<>();
            parts.forEach(part -> next.addAll(KeyRanges.subtract(part, pending.move.range())));
            parts = next;
        }
        return parts;
    }

    /** Begins to withdraw keys; keys that are being moved already are left as they are. */
    public void plan(RangeMove move) {
        if (moves.stream().noneMatch(pending -> pending.move.range().overlaps(move.range()))) {
            moves.add(new PendingMove(move));
            takenBack.removeIf(keys -> keys.overlaps(move.range()));
        }
    }

    /**
     * Drops moves that no longer qualify and have not been written to the store; their keys are granted again if the table
     * still assigns them.
     */
    public void retainMoves(Predicate<RangeMove> valid) {
        for (Iterator<PendingMove> it = moves.iterator(); it.hasNext(); ) {
            PendingMove pending = it.next();
            if (pending.openWrites == 0 && !valid.test(pending.move)) {
                it.remove();
                takenBack.add(pending.move.range());
            }
        }
    }

    /** Learns that moves are being written to the store. */
    public void onWriting(List<RangeMove> beingWritten) {
        moves.forEach(pending -> pending.openWrites += beingWritten.contains(pending.move) ? 1 : 0);
    }

    /** Learns that the store has not done a write of moves and never will; without this, only {@link #settle} ends them. */
    public void onNotWritten(List<RangeMove> notWritten) {
        moves.forEach(pending -> pending.openWrites -= notWritten.contains(pending.move) ? 1 : 0);
    }

    /** Returns whether a move has been planned and not yet settled. */
    public boolean hasMoves() {
        return !moves.isEmpty();
    }

    /**
     * Returns the moves whose keys the backend server no longer holds.
     *
     * <p>A write to the store can take effect late; so the keys of a move that has been written stay withdrawn until
     * {@link #settle}.
     */
    public List<RangeMove> readyMoves() {
        boolean ended = holdsEnded();
        moves.forEach(pending -> pending.ready |= ended);
        return moves.stream()
                .filter(pending -> pending.ready)
                .map(pending -> pending.move)
                .toList();
    }

    /** Forgets moves after the store has settled them, or after their outcome was read from the store. */
    public void settle(List<RangeMove> settled) {
        for (Iterator<PendingMove> it = moves.iterator(); it.hasNext(); ) {
            RangeMove move = it.next().move;
            if (settled.contains(move)) {
                released.removeIf(range -> move.range().contains(range.range()));
                it.remove();
            }
        }
    }

    /** Returns the token under which the given keys were released; empty when there is none for all of them. */
    public Optional<String> handoverToken(KeyRange range) {
        for (int i = released.size() - 1; i >= 0; i--) {
            if (released.get(i).range().contains(range)) {
                return Optional.of(released.get(i).handoverToken());
            }
        }
        return Optional.empty();
    }

    /** Returns the parts of a range that were released under one token each, in order; keys without one come last. */
    public List<KeyRange> partsByToken(KeyRange range) {
        List<KeyRange> parts = new ArrayList<>();
        List<KeyRange> rest = List.of(range);
        for (int i = released.size() - 1; i >= 0; i--) {
            List<KeyRange> next = new ArrayList<>();
            for (KeyRange part : rest) {
                KeyRanges.intersect(part, released.get(i).range()).ifPresent(parts::add);
                next.addAll(KeyRanges.subtract(part, released.get(i).range()));
            }
            rest = next;
        }
        parts.addAll(rest);
        return parts;
    }

    /** Returns whether all holds given so far have ended. */
    public boolean holdsEnded() {
        return holdsEndNanos - time.monotonicNanos() <= 0;
    }

    /** Returns what the last reply granted. */
    public List<GrantedRange> granted() {
        return holdsEnded() ? List.of() : granted;
    }

    private static Duration withDrift(Duration hold) {
        return Duration.ofNanos((long) (hold.toNanos() * (1 + HoldRight.CLOCK_DRIFT)));
    }
}
