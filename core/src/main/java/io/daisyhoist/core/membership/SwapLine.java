package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Sends the swaps of one controller one at a time and settles those without a response.
 *
 * <p>Invariant: a proposed change stays undecided until the record is known at a later version than the one it started
 * from. A response {@code UNKNOWN} is followed by the same change at the same revision, so at most one of the attempts
 * takes effect; a read of the same version settles nothing, because the write may still arrive. Not thread-safe.
 */
final class SwapLine {
    private static final Duration RESULT_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration FIRST_RETRY = Duration.ofMillis(100);
    private static final int MAX_RETRY_DOUBLINGS = 3;
    /** Spreads proposers that conflicted, so that they do not conflict again. */
    private static final Duration CONFLICT_SPREAD = Duration.ofMillis(150);

    private final ControlContext context;
    private final GroupView view;
    private final PlatformReads reads;
    private Optional<Pending> pending = Optional.empty();
    private long lastId;
    private long freeNanos;

    SwapLine(ControlContext context, GroupView view, PlatformReads reads) {
        this.context = context;
        this.view = view;
        this.reads = reads;
        freeNanos = context.time().monotonicNanos();
    }

    private static final class Pending {
        private final long revision;
        private final GroupRecord next;
        private final Set<Long> ids = new HashSet<>();
        private boolean waiting;
        private boolean conflicted;
        private long dueNanos;
        private int failures;

        private Pending(long revision, GroupRecord next) {
            this.revision = revision;
            this.next = next;
        }
    }

    /** Returns whether nothing is undecided. */
    boolean isSettled() {
        return pending.isEmpty();
    }

    /** Returns whether a change may be proposed now. */
    boolean isFree() {
        return pending.isEmpty() && context.isDue(freeNanos);
    }

    /** Sends a change of the known record. */
    void propose(GroupRecord next) {
        Pending change = new Pending(view.revision(), next);
        pending = Optional.of(change);
        send(change);
    }

    /** Takes a result; returns the committed record when it is known to be the proposed one. */
    Optional<GroupRecord> onResult(long swapId, SwapResult result) {
        if (result != SwapResult.UNKNOWN) {
            reads.onResponse();
        }
        if (pending.isEmpty() || !pending.get().ids.contains(swapId)) {
            return Optional.empty();
        }
        Pending change = pending.get();
        switch (result) {
            case APPLIED:
                return Optional.of(change.next);
            case CONFLICT:
                change.waiting = false;
                change.conflicted = true;
                reads.request();
                break;
            default:
                retryLater(change);
                break;
        }
        return Optional.empty();
    }

    /** Settles the pending change when the record is known at its version or later; returns whether it conflicted. */
    boolean onRecord() {
        if (pending.isEmpty() || view.record().version() < pending.get().next.version()) {
            return false;
        }
        boolean lost = !view.record().equals(pending.get().next);
        pending = Optional.empty();
        if (lost) {
            freeNanos = context.nanosAfterRandom(CONFLICT_SPREAD);
        }
        return lost;
    }

    void onTick() {
        if (pending.isEmpty()) {
            return;
        }
        Pending change = pending.get();
        if (change.conflicted) {
            reads.request();
        } else if (context.isDue(change.dueNanos)) {
            resend(change);
        }
    }

    private void resend(Pending change) {
        if (change.waiting) {
            retryLater(change);
        } else {
            send(change);
        }
    }

    private void retryLater(Pending change) {
        change.waiting = false;
        Duration bound = FIRST_RETRY.multipliedBy(1L << Math.min(change.failures, MAX_RETRY_DOUBLINGS));
        change.failures++;
        change.dueNanos = context.nanosAfterRandom(bound) + FIRST_RETRY.toNanos();
    }

    private void send(Pending change) {
        lastId++;
        change.ids.add(lastId);
        change.waiting = true;
        change.dueNanos = context.nanosAfter(RESULT_TIMEOUT);
        context.emit(new GroupAction.Swap(lastId, change.revision, change.next));
    }
}
