package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Writes changes of the group record by compare-and-swap, one at a time, and resolves writes without a response.
 *
 * <p>Invariant: a proposed change stays pending until the record is known at a later version than the one it is based
 * on. After the result {@code UNKNOWN} the same change is sent again at the same expected revision, so at most one of
 * the attempts takes effect; reading the same version again resolves nothing, because the write may still arrive. Not
 * thread-safe.
 */
final class GroupRecordWriter {
    private static final Duration RESULT_TIMEOUT = Duration.ofMillis(1500);
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(100);
    private static final int MAX_RETRY_DOUBLINGS = 3;
    /** Upper bound of the random backoff that keeps proposers which conflicted from conflicting again. */
    private static final Duration MAX_CONFLICT_BACKOFF = Duration.ofMillis(150);

    private final ControllerContext context;
    private final GroupView view;
    private final GroupRecordReader reader;
    private Optional<PendingChange> pending = Optional.empty();
    private long lastSwapId;
    private long nextProposalNanos;

    GroupRecordWriter(ControllerContext context, GroupView view, GroupRecordReader reader) {
        this.context = context;
        this.view = view;
        this.reader = reader;
        nextProposalNanos = context.time().monotonicNanos();
    }

    private static final class PendingChange {
        private final long revision;
        private final GroupRecord newRecord;
        private final Set<Long> swapIds = new HashSet<>();
        private boolean awaitingResult;
        private boolean conflicted;
        private long nextAttemptNanos;
        private int failures;

        private PendingChange(long revision, GroupRecord newRecord) {
            this.revision = revision;
            this.newRecord = newRecord;
        }
    }

    /** Returns whether no change is pending. */
    boolean hasNoPendingChange() {
        return pending.isEmpty();
    }

    /** Returns whether a change may be proposed now. */
    boolean canPropose() {
        return pending.isEmpty() && context.isDue(nextProposalNanos);
    }

    /** Sends a change that is based on the known record. */
    void propose(GroupRecord newRecord) {
        PendingChange change = new PendingChange(view.revision(), newRecord);
        pending = Optional.of(change);
        send(change);
    }

    /** Handles the result of a swap; returns the proposed record if it is known to be committed. */
    Optional<GroupRecord> onResult(long swapId, SwapResult result) {
        if (result != SwapResult.UNKNOWN) {
            reader.onResponse();
        }
        if (pending.isEmpty() || !pending.get().swapIds.contains(swapId)) {
            return Optional.empty();
        }
        PendingChange change = pending.get();
        switch (result) {
            case APPLIED:
                return Optional.of(change.newRecord);
            case CONFLICT:
                change.awaitingResult = false;
                change.conflicted = true;
                reader.requestRead();
                break;
            default:
                scheduleRetry(change);
                break;
        }
        return Optional.empty();
    }

    /** Resolves the pending change once its version or a later one is known; returns whether another change won. */
    boolean onRecord() {
        if (pending.isEmpty()
                || view.record().version() < pending.get().newRecord.version()) {
            return false;
        }
        boolean conflicted = !view.record().equals(pending.get().newRecord);
        pending = Optional.empty();
        if (conflicted) {
            nextProposalNanos = context.nanosAfterRandom(MAX_CONFLICT_BACKOFF);
        }
        return conflicted;
    }

    void onTick() {
        if (pending.isEmpty()) {
            return;
        }
        PendingChange change = pending.get();
        if (change.conflicted) {
            reader.requestRead();
        } else if (context.isDue(change.nextAttemptNanos)) {
            resend(change);
        }
    }

    private void resend(PendingChange change) {
        if (change.awaitingResult) {
            scheduleRetry(change);
        } else {
            send(change);
        }
    }

    private void scheduleRetry(PendingChange change) {
        change.awaitingResult = false;
        Duration bound = MIN_RETRY_DELAY.multipliedBy(1L << Math.min(change.failures, MAX_RETRY_DOUBLINGS));
        change.failures++;
        change.nextAttemptNanos = context.nanosAfterRandom(bound) + MIN_RETRY_DELAY.toNanos();
    }

    private void send(PendingChange change) {
        lastSwapId++;
        change.swapIds.add(lastSwapId);
        change.awaitingResult = true;
        change.nextAttemptNanos = context.nanosAfter(RESULT_TIMEOUT);
        context.emit(new GroupAction.Swap(lastSwapId, change.revision, change.newRecord));
    }
}
