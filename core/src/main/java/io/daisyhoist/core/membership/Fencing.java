package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.FenceOutcome;
import io.daisyhoist.core.lease.SessionLease;
import io.daisyhoist.core.lease.WitnessLedger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;

/**
 * Collects fences of sessions that are silent or that an earlier process of this daemon left behind.
 *
 * <p>Invariant: a session counts as dead only when a majority of the witnesses in the known record have fenced it; a
 * change based on that is written at the revision of the same record. Not thread-safe.
 */
final class Fencing {
    /** Usually the first candidate is done within this time, so that the others need not start. */
    private static final Duration RANK_SPACING = Duration.ofMillis(150);

    /** An owner replaces lost witnesses within 3 s, see {@link WitnessMaintenance}. */
    private static final Duration UNWATCHED_FOR = Duration.ofSeconds(5);

    private static final Duration RETRY = Duration.ofMillis(200);
    private static final Duration PROMISE_SLACK = Duration.ofMillis(5);

    private final ControlContext context;
    private final GroupView view;
    private final WitnessLedger ledger;
    private final Map<SessionId, Campaign> campaigns = new HashMap<>();

    Fencing(ControlContext context, GroupView view, WitnessLedger ledger) {
        this.context = context;
        this.view = view;
        this.ledger = ledger;
    }

    private static final class Campaign {
        private final Set<ProcessId> fencedBy = new HashSet<>();
        private final Map<ProcessId, Long> nextAskNanos = new HashMap<>();
    }

    /** Returns whether a listed session is silent past the promise that this process gave as its witness. */
    boolean isSuspect(Member member) {
        return isWitnessOf(member) && !ledger.silentFor(member.session()).isZero();
    }

    /** Asks the witnesses of silent sessions to fence them, in rank order. */
    void onTick() {
        for (Member member : view.record().members()) {
            boolean overdue =
                    isSuspect(member) && ledger.silentFor(member.session()).compareTo(rankDelay(member)) >= 0;
            if (overdue || isUnwatched(member)) {
                pursue(member);
            }
        }
    }

    /** Returns whether no listed process watches a session any more, long enough for a live owner to change that. */
    private boolean isUnwatched(Member member) {
        return !member.witnesses().isEmpty()
                && !member.session().process().equals(context.profile().process())
                && context.isDue(view.membersSinceNanos() + UNWATCHED_FOR.toNanos())
                && member.witnesses().stream()
                        .allMatch(witness -> view.memberOf(witness).isEmpty());
    }

    /** Asks the witnesses of a session to fence it. */
    void pursue(Member member) {
        Campaign campaign = campaigns.computeIfAbsent(member.session(), session -> new Campaign());
        for (ProcessId witness : member.witnesses()) {
            if (!campaign.fencedBy.contains(witness)) {
                ask(member, campaign, witness);
            }
        }
    }

    void onReply(SessionId session, ProcessId witness, FenceOutcome outcome) {
        Campaign campaign = campaigns.get(session);
        if (campaign == null) {
            return;
        }
        switch (outcome.result()) {
            case FENCED:
                campaign.fencedBy.add(witness);
                view.record().member(session).ifPresent(member -> fenceHere(member, campaign));
                break;
            case PROMISED:
                campaign.nextAskNanos.put(
                        witness, context.nanosAfter(outcome.time().plus(PROMISE_SLACK)));
                break;
            case SUPERSEDED:
                onSuperseded(session, campaign, witness, outcome.time());
                break;
            default:
                break;
        }
    }

    /**
     * An ended witness acknowledges nothing any more, and its last promise was given before its successor started. After
     * one ttl it counts like one that has fenced.
     */
    private void onSuperseded(SessionId session, Campaign campaign, ProcessId witness, Duration uptime) {
        Duration remaining = context.settings().ttl().minus(uptime);
        if (remaining.isNegative()) {
            campaign.fencedBy.add(witness);
            view.record().member(session).ifPresent(member -> fenceHere(member, campaign));
            return;
        }
        campaign.nextAskNanos.put(witness, context.nanosAfter(remaining.plus(PROMISE_SLACK)));
    }

    /** Finds a listed session that is dead. */
    Optional<Member> findDead() {
        return campaigns.isEmpty()
                ? Optional.empty()
                : view.record().members().stream().filter(this::isDead).findFirst();
    }

    /** Returns whether a majority of the listed witnesses have fenced a listed session. */
    boolean isDead(Member member) {
        Campaign campaign = campaigns.get(member.session());
        return campaign != null
                && count(member, campaign)
                        >= SessionLease.majority(member.witnesses().size());
    }

    void onRecord() {
        campaigns.keySet().removeIf(session -> view.record().member(session).isEmpty());
    }

    private void ask(Member member, Campaign campaign, ProcessId witness) {
        if (witness.equals(context.profile().process())) {
            fenceHere(member, campaign);
            return;
        }
        Long next = campaign.nextAskNanos.get(witness);
        if (next == null || context.isDue(next)) {
            campaign.nextAskNanos.put(witness, context.nanosAfter(RETRY));
            view.endpoint(witness)
                    .ifPresent(peer -> context.emit(new GroupAction.SendFence(witness, peer, member.session())));
        }
    }

    /** Fences here last: a member that only this process cannot hear keeps this witness. */
    private void fenceHere(Member member, Campaign campaign) {
        int needed = SessionLease.majority(member.witnesses().size());
        if (isWitnessOf(member)
                && count(member, campaign) >= needed - 1
                && ledger.fence(member.session()).result() == FenceOutcome.Result.FENCED) {
            campaign.fencedBy.add(context.profile().process());
        }
    }

    private int count(Member member, Campaign campaign) {
        return (int)
                member.witnesses().stream().filter(campaign.fencedBy::contains).count();
    }

    private boolean isWitnessOf(Member member) {
        ProcessId own = context.profile().process();
        return member.witnesses().contains(own) && !member.session().process().equals(own);
    }

    private Duration rankDelay(Member member) {
        List<ProcessId> others = member.witnesses().stream()
                .filter(witness -> !witness.equals(member.session().process()))
                .toList();
        return RANK_SPACING.multipliedBy(others.indexOf(context.profile().process()));
    }
}
