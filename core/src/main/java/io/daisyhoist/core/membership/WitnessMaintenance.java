package io.daisyhoist.core.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.lease.SessionLease;
import io.daisyhoist.core.lease.WitnessSelector;
import io.daisyhoist.core.lease.WitnessSelector.Candidate;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;

/**
 * Chooses the witnesses of the local session and replaces those that are lost. Not thread-safe.
 */
final class WitnessMaintenance {
    /** Longer than a failover takes, so a session that its witnesses may still fence is not changed before that. */
    private static final Duration REPLACE_DELAY_WITHOUT_LEASE = Duration.ofSeconds(3);
    /**
     * While one witness still acknowledges, the links of this daemon work and the other witnesses are lost, for example
     * with their zone; waiting for a failover would leave partitions without an owner for longer than the allowed 4 s.
     */
    private static final Duration REPLACE_DELAY_WITH_RECENT_ACK = Duration.ofMillis(300);
    /** A live member chooses its witnesses within this time. */
    private static final Duration OTHER_MEMBER_DELAY = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    /** Time for which a replaced witness is not selected again. */
    private static final Duration REPLACED_WITNESS_COOLDOWN = Duration.ofSeconds(10);

    private final ControllerContext context;
    private final GroupView view;
    private final GroupRecordReader reader;
    private final LocalSession localSession;
    private final Map<ProcessId, Long> cooldownUntilNanos = new HashMap<>();
    private long nextCheckNanos;
    private long checkedVersion = -1;

    WitnessMaintenance(ControllerContext context, GroupView view, GroupRecordReader reader, LocalSession localSession) {
        this.context = context;
        this.view = view;
        this.reader = reader;
        this.localSession = localSession;
        nextCheckNanos = context.time().monotonicNanos();
    }

    /** Selects the witnesses for a session of this process that is about to join. */
    List<ProcessId> selectForNewSession() {
        return select(localCandidate(), Set.of(), avoidedWitnesses(Set.of()));
    }

    /** Proposes to replace witnesses of the local session where needed. */
    Optional<GroupRecord> propose() {
        if (!context.isDue(nextCheckNanos)) {
            return Optional.empty();
        }
        nextCheckNanos = context.nanosAfter(CHECK_INTERVAL);
        Optional<Member> member = localSession.current().flatMap(view.record()::member);
        if (member.isEmpty() || !mayReplaceWitnesses(member.get())) {
            return Optional.empty();
        }
        List<ProcessId> planned = plannedWitnesses(member.get());
        if (planned.isEmpty()
                || Set.copyOf(planned).equals(Set.copyOf(member.get().witnesses()))) {
            return Optional.empty();
        }
        if (!reader.isResponsive()) {
            nextCheckNanos = context.time().monotonicNanos();
            checkedVersion = -1;
            return Optional.empty();
        }
        localSession.lease().ifPresent(lease -> lease.startChange(planned));
        return Optional.of(
                GroupTransitions.changeWitnesses(view.record(), member.get().session(), planned));
    }

    /** Proposes witnesses for a member that has none and thus no lease, so that its loss is detected. */
    Optional<GroupRecord> proposeForMemberWithoutWitnesses() {
        if (!view.record().hasQuorumSize()
                || !context.isDue(view.membersUnchangedSinceNanos() + OTHER_MEMBER_DELAY.toNanos())) {
            return Optional.empty();
        }
        return view.record().members().stream()
                .filter(member -> member.witnesses().isEmpty())
                .findFirst()
                .map(member -> GroupTransitions.changeWitnesses(
                        view.record(), member.session(), select(candidateOf(member), Set.of(), Set.of())));
    }

    private boolean mayReplaceWitnesses(Member member) {
        return member.witnesses().isEmpty()
                || localSession.hasValidLease()
                || localSession
                                .leaseInvalidDuration()
                                .compareTo(
                                        localSession.hasRecentWitnessAck()
                                                ? REPLACE_DELAY_WITH_RECENT_ACK
                                                : REPLACE_DELAY_WITHOUT_LEASE)
                        >= 0;
    }

    /** Returns the witnesses that the member should have; empty when no change is needed. */
    private List<ProcessId> plannedWitnesses(Member member) {
        List<ProcessId> listed = member.witnesses();
        Set<ProcessId> unusable =
                new HashSet<>(listed.stream().filter(this::isUnusable).toList());
        if (unusable.isEmpty() && checkedVersion == view.record().version()) {
            return List.of();
        }
        checkedVersion = view.record().version();
        unusable.forEach(witness -> cooldownUntilNanos.put(witness, context.nanosAfter(REPLACED_WITNESS_COOLDOWN)));
        Set<ProcessId> kept = new HashSet<>(listed);
        kept.removeAll(unusable);
        List<ProcessId> selected = select(candidateOf(member), kept, avoidedWitnesses(unusable));
        if (selected.size() != listed.size()) {
            return selected;
        }
        if (!isImprovement(listed, selected, unusable)) {
            return List.of();
        }
        return localSession.hasValidLease() ? limitChanges(listed, selected, unusable) : selected;
    }

    private boolean isUnusable(ProcessId witness) {
        return view.memberOf(witness).isEmpty()
                || view.memberOf(witness).get().state() == MemberState.LEAVING
                || localSession.fencedBy().contains(witness)
                || localSession.isUnresponsive(witness)
                || isLocalProcess(witness) && view.record().members().size() > GroupRecord.MIN_MEMBERS;
    }

    private boolean isImprovement(List<ProcessId> listed, List<ProcessId> selected, Set<ProcessId> unusable) {
        if (!unusable.isEmpty()) {
            return selected.stream()
                            .filter(avoidedWitnesses(unusable)::contains)
                            .count()
                    < unusable.size();
        }
        long gainedOutsideZone = countOutsideLocalZone(selected) - countOutsideLocalZone(listed);
        return gainedOutsideZone > 0 || gainedOutsideZone == 0 && countZones(selected) > countZones(listed);
    }

    /**
     * Counts the witnesses that survive the loss of the local zone; they must be a majority for the lease to survive.
     */
    private long countOutsideLocalZone(List<ProcessId> witnesses) {
        return witnesses.stream()
                .flatMap(witness -> view.memberOf(witness).stream())
                .filter(member -> !member.zone().equals(context.profile().zone()))
                .count();
    }

    /** Limits the number of witnesses replaced at once, so that the unchanged ones are a majority of both lists. */
    private static List<ProcessId> limitChanges(
            List<ProcessId> listed, List<ProcessId> selected, Set<ProcessId> unusable) {
        int maxChanges = listed.size() - SessionLease.majority(listed.size());
        List<ProcessId> added = new ArrayList<>(selected);
        added.removeAll(listed);
        List<ProcessId> removed = new ArrayList<>(listed);
        removed.removeAll(selected);
        removed.sort((first, second) -> Boolean.compare(unusable.contains(second), unusable.contains(first)));
        List<ProcessId> limited = new ArrayList<>(listed);
        limited.removeAll(removed.subList(0, Math.min(maxChanges, removed.size())));
        limited.addAll(added.subList(0, Math.min(maxChanges, added.size())));
        return limited;
    }

    private List<ProcessId> select(Candidate member, Set<ProcessId> kept, Set<ProcessId> avoided) {
        List<Candidate> others = view.record().members().stream()
                .filter(other ->
                        !other.session().daemon().equals(member.process().daemon()))
                .map(WitnessMaintenance::candidateOf)
                .toList();
        return WitnessSelector.select(
                member, others, kept, avoided, context.settings().witnesses());
    }

    private Set<ProcessId> avoidedWitnesses(Set<ProcessId> unusable) {
        cooldownUntilNanos.values().removeIf(context::isDue);
        Set<ProcessId> avoided = new HashSet<>(unusable);
        avoided.addAll(cooldownUntilNanos.keySet());
        view.record().members().stream()
                .filter(member -> member.state() == MemberState.LEAVING)
                .map(Member::session)
                .map(SessionId::process)
                .forEach(avoided::add);
        return avoided;
    }

    private long countZones(List<ProcessId> witnesses) {
        Set<AvailabilityZone> zones = new HashSet<>();
        witnesses.forEach(witness -> view.memberOf(witness).map(Member::zone).ifPresent(zones::add));
        return zones.size();
    }

    private boolean isLocalProcess(ProcessId process) {
        return process.equals(context.profile().process());
    }

    private Candidate localCandidate() {
        return new Candidate(context.profile().process(), context.profile().zone());
    }

    private static Candidate candidateOf(Member member) {
        return new Candidate(member.session().process(), member.zone());
    }
}
