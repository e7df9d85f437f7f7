package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.LeaseWitness;
import io.daisyhoist.core.lease.SessionLease;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;

/**
 * Fences sessions that have stopped sending heartbeats or that an earlier process of this daemon left in the record.
 *
 * <p>Invariant: a session counts as dead only when a majority of the witnesses in the known record have fenced it; a
 * change based on that is written at the revision of the same record. Not thread-safe.
 */
final class Fencing {
    /** Staggers the witnesses: the first one usually finishes within one step, so the others do not need to start. */
    private static final Duration RANK_DELAY_STEP = Duration.ofMillis(150);

    /** Longer than the 3 s within which a live owner replaces lost witnesses, see {@link WitnessMaintenance}. */
    private static final Duration WITNESSES_UNLISTED_TIMEOUT = Duration.ofSeconds(5);

    private static final Duration RETRY_INTERVAL = Duration.ofMillis(200);
    private static final Duration PROMISE_MARGIN = Duration.ofMillis(5);

    private final ControllerContext context;
    private final GroupView view;
    private final LeaseWitness leaseWitness;
    private final Map<SessionId, FenceProgress> progressBySession = new HashMap<>();

    Fencing(ControllerContext context, GroupView view, LeaseWitness leaseWitness) {
        this.context = context;
        this.view = view;
        this.leaseWitness = leaseWitness;
    }

    private static final class FenceProgress {
        private final Set<ProcessId> fencedBy = new HashSet<>();
        private final Map<ProcessId, Long> nextRequestNanos = new HashMap<>();
    }

    /** Returns whether a session has sent no heartbeat since the promise of this process as its witness expired. */
    boolean isSuspect(Member member) {
        return isLocalWitnessOf(member)
                && !leaseWitness.overdueTime(member.session()).isZero();
    }

    /** Requests fences of suspected sessions, with a delay by the rank of this process among the witnesses. */
    void onTick() {
        for (Member member : view.record().members()) {
            boolean overdue = isSuspect(member)
                    && leaseWitness.overdueTime(member.session()).compareTo(rankDelay(member)) >= 0;
            if (overdue || hasOnlyUnlistedWitnesses(member)) {
                requestFences(member);
            }
        }
    }

    /** Returns whether no witness of a session has been listed for longer than a live owner takes to replace them. */
    private boolean hasOnlyUnlistedWitnesses(Member member) {
        return !member.witnesses().isEmpty()
                && !member.session().process().equals(context.profile().process())
                && context.isDue(view.membersUnchangedSinceNanos() + WITNESSES_UNLISTED_TIMEOUT.toNanos())
                && member.witnesses().stream()
                        .allMatch(witness -> view.memberOf(witness).isEmpty());
    }

    /** Requests fences of a session from all its witnesses that have not fenced it yet. */
    void requestFences(Member member) {
        FenceProgress progress = progressBySession.computeIfAbsent(member.session(), session -> new FenceProgress());
        for (ProcessId witness : member.witnesses()) {
            if (!progress.fencedBy.contains(witness)) {
                requestFence(member, progress, witness);
            }
        }
    }

    void onReply(SessionId session, ProcessId witness, FenceOutcome outcome) {
        FenceProgress progress = progressBySession.get(session);
        if (progress == null) {
            return;
        }
        switch (outcome.result()) {
            case FENCED:
                progress.fencedBy.add(witness);
                view.record().member(session).ifPresent(member -> fenceLocally(member, progress));
                break;
            case PROMISED:
                progress.nextRequestNanos.put(
                        witness, context.nanosAfter(outcome.time().plus(PROMISE_MARGIN)));
                break;
            case SUPERSEDED:
                onSuperseded(session, progress, witness, outcome.time());
                break;
            default:
                break;
        }
    }

    /**
     * Handles the reply of a process that replaced the witness. The ended witness acknowledges no further heartbeats,
     * and its last promise predates the start of its successor, so after one TTL it counts as having fenced the
     * session.
     */
    private void onSuperseded(SessionId session, FenceProgress progress, ProcessId witness, Duration uptime) {
        Duration remaining = context.settings().ttl().minus(uptime);
        if (remaining.isNegative()) {
            progress.fencedBy.add(witness);
            view.record().member(session).ifPresent(member -> fenceLocally(member, progress));
            return;
        }
        progress.nextRequestNanos.put(witness, context.nanosAfter(remaining.plus(PROMISE_MARGIN)));
    }

    /** Returns the first listed member whose session is dead. */
    Optional<Member> findDead() {
        return progressBySession.isEmpty()
                ? Optional.empty()
                : view.record().members().stream().filter(this::isDead).findFirst();
    }

    /** Returns whether a majority of the listed witnesses have fenced a member's session. */
    boolean isDead(Member member) {
        FenceProgress progress = progressBySession.get(member.session());
        return progress != null
                && countFences(member, progress)
                        >= SessionLease.majority(member.witnesses().size());
    }

    void onRecord() {
        progressBySession
                .keySet()
                .removeIf(session -> view.record().member(session).isEmpty());
    }

    private void requestFence(Member member, FenceProgress progress, ProcessId witness) {
        if (witness.equals(context.profile().process())) {
            fenceLocally(member, progress);
            return;
        }
        Long dueNanos = progress.nextRequestNanos.get(witness);
        if (dueNanos == null || context.isDue(dueNanos)) {
            progress.nextRequestNanos.put(witness, context.nanosAfter(RETRY_INTERVAL));
            view.endpoint(witness)
                    .ifPresent(peer -> context.emit(new GroupAction.SendFence(witness, peer, member.session())));
        }
    }

    /** Fences as a local witness last, so that a member whose heartbeats only this process misses keeps its lease. */
    private void fenceLocally(Member member, FenceProgress progress) {
        int majority = SessionLease.majority(member.witnesses().size());
        if (isLocalWitnessOf(member)
                && countFences(member, progress) >= majority - 1
                && leaseWitness.fence(member.session()).result() == FenceOutcome.Result.FENCED) {
            progress.fencedBy.add(context.profile().process());
        }
    }

    private int countFences(Member member, FenceProgress progress) {
        return (int)
                member.witnesses().stream().filter(progress.fencedBy::contains).count();
    }

    private boolean isLocalWitnessOf(Member member) {
        ProcessId localProcess = context.profile().process();
        return member.witnesses().contains(localProcess)
                && !member.session().process().equals(localProcess);
    }

    private Duration rankDelay(Member member) {
        List<ProcessId> others = member.witnesses().stream()
                .filter(witness -> !witness.equals(member.session().process()))
                .toList();
        return RANK_DELAY_STEP.multipliedBy(others.indexOf(context.profile().process()));
    }
}
