package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Own partitions on their way to another owner.
 *
 * <p>Invariant: from the start of a hand-over this daemon does not serve the partition until a later record version
 * changes its grant, or the hand-over failed before attempt records were sent. If the target is gone by then, the
 * partition gets a new epoch for the own session, so that records that the target received stay complete for the old
 * epoch. Not thread-safe.
 */
final class HandOvers {
    /** Longer than the grace for in-flight requests (20 s). */
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

    private final ControlContext context;
    private final GroupView view;
    private final Map<PartitionId, Entry> entries = new HashMap<>();

    HandOvers(ControlContext context, GroupView view) {
        this.context = context;
        this.view = view;
    }

    private static final class Entry {
        private final Grant grant;
        private final long timeoutNanos;
        private SessionId to;
        private boolean ready;

        private Entry(Grant grant, SessionId to, long timeoutNanos) {
            this.grant = grant;
            this.to = to;
            this.timeoutNanos = timeoutNanos;
        }

        private void finish(SessionId target) {
            to = target;
            ready = true;
        }
    }

    Set<PartitionId> partitions() {
        return entries.isEmpty() ? Set.of() : Set.copyOf(entries.keySet());
    }

    boolean contains(PartitionId partition) {
        return entries.containsKey(partition);
    }

    void start(Grant grant, Member to) {
        entries.put(grant.partition(), new Entry(grant, to.session(), context.nanosAfter(DRAIN_TIMEOUT)));
        context.emit(new GroupAction.HandOver(grant, to));
    }

    void onHandedOver(PartitionId partition) {
        Optional.ofNullable(entries.get(partition))
                .filter(entry -> !entry.ready)
                .ifPresent(entry -> entry.finish(entry.to));
    }

    void onFailed(PartitionId partition, boolean recordsSent) {
        Entry entry = entries.get(partition);
        if (entry == null || entry.ready) {
            return;
        }
        if (recordsSent) {
            entry.finish(entry.grant.owner());
        } else {
            entries.remove(partition);
        }
    }

    void onTick() {
        entries.values().stream()
                .filter(entry -> !entry.ready && context.isDue(entry.timeoutNanos))
                .forEach(entry -> entry.finish(entry.grant.owner()));
    }

    void onRecord() {
        entries.values()
                .removeIf(entry -> !view.record().grant(entry.grant.partition()).equals(Optional.of(entry.grant)));
    }

    void clear() {
        entries.clear();
    }

    /** Moves all partitions whose hand-over is finished. */
    Optional<GroupRecord> propose(SessionId own) {
        if (entries.isEmpty()) {
            return Optional.empty();
        }
        Map<PartitionId, SessionId> owners = new HashMap<>();
        entries.values().stream()
                .filter(entry -> entry.ready)
                .forEach(entry -> owners.put(entry.grant.partition(), target(entry)));
        return owners.isEmpty() ? Optional.empty() : Optional.of(GroupTransitions.move(view.record(), own, owners));
    }

    private SessionId target(Entry entry) {
        return view.record()
                .member(entry.to)
                .filter(member ->
                        OwnerRules.mayReceive(member, entry.grant.partition().service(), context.config()))
                .map(Member::session)
                .orElse(entry.grant.owner());
    }
}
