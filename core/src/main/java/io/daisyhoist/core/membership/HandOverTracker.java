package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Tracks partitions of the local session that are being handed over to another owner.
 *
 * <p>Invariant: from the start of a hand-over this daemon does not serve the partition until a later record version
 * changes its grant, or until the hand-over fails before attempt records were sent. If the target is no longer eligible
 * when the hand-over finishes, the partition gets a new epoch for the local session, so that the attempt records that
 * the target received stay complete for the old epoch. Not thread-safe.
 */
final class HandOverTracker {
    /** Longer than the time that in-flight requests are given to finish (20 s). */
    private static final Duration HAND_OVER_TIMEOUT = Duration.ofSeconds(30);

    private final ControllerContext context;
    private final GroupView view;
    private final Map<PartitionId, PendingHandOver> handOvers = new HashMap<>();

    HandOverTracker(ControllerContext context, GroupView view) {
        this.context = context;
        this.view = view;
    }

    private static final class PendingHandOver {
        private final Grant grant;
        private final long timeoutNanos;
        private SessionId target;
        private boolean finished;

        private PendingHandOver(Grant grant, SessionId target, long timeoutNanos) {
            this.grant = grant;
            this.target = target;
            this.timeoutNanos = timeoutNanos;
        }

        private void finish(SessionId newTarget) {
            target = newTarget;
            finished = true;
        }
    }

    Set<PartitionId> partitions() {
        return handOvers.isEmpty() ? Set.of() : Set.copyOf(handOvers.keySet());
    }

    boolean contains(PartitionId partition) {
        return handOvers.containsKey(partition);
    }

    void start(Grant grant, Member target) {
        handOvers.put(
                grant.partition(), new PendingHandOver(grant, target.session(), context.nanosAfter(HAND_OVER_TIMEOUT)));
        context.emit(new GroupAction.HandOver(grant, target));
    }

    void onHandedOver(PartitionId partition) {
        Optional.ofNullable(handOvers.get(partition))
                .filter(handOver -> !handOver.finished)
                .ifPresent(handOver -> handOver.finish(handOver.target));
    }

    void onFailed(PartitionId partition, boolean recordsSent) {
        PendingHandOver handOver = handOvers.get(partition);
        if (handOver == null || handOver.finished) {
            return;
        }
        if (recordsSent) {
            handOver.finish(handOver.grant.owner());
        } else {
            handOvers.remove(partition);
        }
    }

    void onTick() {
        handOvers.values().stream()
                .filter(handOver -> !handOver.finished && context.isDue(handOver.timeoutNanos))
                .forEach(handOver -> handOver.finish(handOver.grant.owner()));
    }

    void onRecord() {
        handOvers
                .values()
                .removeIf(handOver ->
                        !view.record().grant(handOver.grant.partition()).equals(Optional.of(handOver.grant)));
    }

    void clear() {
        handOvers.clear();
    }

    /** Proposes to change the owner of all partitions whose hand-over has finished. */
    Optional<GroupRecord> propose(SessionId localSession) {
        if (handOvers.isEmpty()) {
            return Optional.empty();
        }
        Map<PartitionId, SessionId> owners = new HashMap<>();
        handOvers.values().stream()
                .filter(handOver -> handOver.finished)
                .forEach(handOver -> owners.put(handOver.grant.partition(), newOwner(handOver)));
        return owners.isEmpty()
                ? Optional.empty()
                : Optional.of(GroupTransitions.move(view.record(), localSession, owners));
    }

    private SessionId newOwner(PendingHandOver handOver) {
        return view.record()
                .member(handOver.target)
                .filter(member -> OwnerEligibility.isEligible(
                        member, handOver.grant.partition().service(), context.config()))
                .map(Member::session)
                .orElse(handOver.grant.owner());
    }
}
