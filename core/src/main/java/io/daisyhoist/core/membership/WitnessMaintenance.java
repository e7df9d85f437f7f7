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
 * Chooses the witnesses of the own session and replaces those that are gone. Not thread-safe.
 */
final class WitnessMaintenance {
    /** A failover needs less, so a session that may still be fenced is left to its witnesses. */
    private static final Duration REPLACE_WITHOUT_LEASE = Duration.ofSeconds(3);
    /**
     * While a witness still acknowledges, the own links work and the others are gone, for instance with their zone;
     * waiting for a failover would exceed the 4 s bound.
     */
    private static final Duration REPLACE_WHEN_HEARD = Duration.ofMillis(300);
    /** A member sets its own witnesses within this time unless it is gone. */
    private static final Duration SET_FOR_OTHERS = Duration.ofSeconds(3);

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    /** A replaced witness is not chosen again while this runs. */
    private static final Duration AVOID = Duration.ofSeconds(10);

    private final ControlContext context;
    private final GroupView view;
    private final PlatformReads reads;
    private final OwnSession own;
    private final Map<ProcessId, Long> avoidUntilNanos = new HashMap<>();
    private long nextCheckNanos;
    private long checkedVersion = -1;

    WitnessMaintenance(ControlContext context, GroupView view, PlatformReads reads, OwnSession own) {
        this.context = context;
        this.view = view;
        this.reads = reads;
        this.own = own;
        nextCheckNanos = context.time().monotonicNanos();
    }

    /** Chooses the witnesses for a session of this process that is about to join. */
    List<ProcessId> forNewSession() {
        return select(self(), Set.of(), avoided(Set.of()));
    }

    /** Replaces witnesses of the own session where needed. */
    Optional<GroupRecord> propose() {
        if (!context.isDue(nextCheckNanos)) {
            return Optional.empty();
        }
        nextCheckNanos = context.nanosAfter(CHECK_INTERVAL);
        Optional<Member> member = own.current().flatMap(view.record()::member);
        if (member.isEmpty() || !mayChange(member.get())) {
            return Optional.empty();
        }
        List<ProcessId> wanted = wanted(member.get());
        if (wanted.isEmpty()
                || Set.copyOf(wanted).equals(Set.copyOf(member.get().witnesses()))) {
            return Optional.empty();
        }
        if (!reads.isResponsive()) {
            nextCheckNanos = context.time().monotonicNanos();
            checkedVersion = -1;
            return Optional.empty();
        }
        own.lease().ifPresent(lease -> lease.startChange(wanted));
        return Optional.of(
                GroupTransitions.changeWitnesses(view.record(), member.get().session(), wanted));
    }

    /** Gives witnesses to a member that has none, so that its loss is noticed. Such a member holds no lease. */
    Optional<GroupRecord> proposeForOthers() {
        if (!view.record().hasQuorumSize() || !context.isDue(view.membersSinceNanos() + SET_FOR_OTHERS.toNanos())) {
            return Optional.empty();
        }
        return view.record().members().stream()
                .filter(member -> member.witnesses().isEmpty())
                .findFirst()
                .map(member -> GroupTransitions.changeWitnesses(
                        view.record(), member.session(), select(candidate(member), Set.of(), Set.of())));
    }

    private boolean mayChange(Member member) {
        return member.witnesses().isEmpty()
                || own.hasValidLease()
                || own.invalidFor().compareTo(own.hearsWitness() ? REPLACE_WHEN_HEARD : REPLACE_WITHOUT_LEASE) >= 0;
    }

    private List<ProcessId> wanted(Member member) {
        List<ProcessId> listed = member.witnesses();
        Set<ProcessId> bad = new HashSet<>(listed.stream().filter(this::isBad).toList());
        if (bad.isEmpty() && checkedVersion == view.record().version()) {
            return List.of();
        }
        checkedVersion = view.record().version();
        bad.forEach(witness -> avoidUntilNanos.put(witness, context.nanosAfter(AVOID)));
        Set<ProcessId> kept = new HashSet<>(listed);
        kept.removeAll(bad);
        List<ProcessId> selected = select(candidate(member), kept, avoided(bad));
        if (selected.size() != listed.size()) {
            return selected;
        }
        if (!improves(listed, selected, bad)) {
            return List.of();
        }
        return own.hasValidLease() ? limited(listed, selected, bad) : selected;
    }

    private boolean isBad(ProcessId witness) {
        return view.memberOf(witness).isEmpty()
                || view.memberOf(witness).get().state() == MemberState.LEAVING
                || own.fencedBy().contains(witness)
                || own.isUnresponsive(witness)
                || isSelf(witness) && view.record().members().size() > GroupRecord.MIN_MEMBERS;
    }

    private boolean improves(List<ProcessId> listed, List<ProcessId> selected, Set<ProcessId> bad) {
        if (!bad.isEmpty()) {
            return selected.stream().filter(avoided(bad)::contains).count() < bad.size();
        }
        long gained = outsideOwnZone(selected) - outsideOwnZone(listed);
        return gained > 0 || gained == 0 && zones(selected) > zones(listed);
    }

    /** Counts the witnesses that remain when the own zone is lost; a majority of them must. */
    private long outsideOwnZone(List<ProcessId> witnesses) {
        return witnesses.stream()
                .flatMap(witness -> view.memberOf(witness).stream())
                .filter(member -> !member.zone().equals(context.profile().zone()))
                .count();
    }

    /** Replaces so few witnesses at once that the others are a majority of both lists. */
    private static List<ProcessId> limited(List<ProcessId> listed, List<ProcessId> selected, Set<ProcessId> bad) {
        int allowed = listed.size() - SessionLease.majority(listed.size());
        List<ProcessId> added = new ArrayList<>(selected);
        added.removeAll(listed);
        List<ProcessId> dropped = new ArrayList<>(listed);
        dropped.removeAll(selected);
        dropped.sort((first, second) -> Boolean.compare(bad.contains(second), bad.contains(first)));
        List<ProcessId> limited = new ArrayList<>(listed);
        limited.removeAll(dropped.subList(0, Math.min(allowed, dropped.size())));
        limited.addAll(added.subList(0, Math.min(allowed, added.size())));
        return limited;
    }

    private List<ProcessId> select(Candidate member, Set<ProcessId> kept, Set<ProcessId> avoided) {
        List<Candidate> others = view.record().members().stream()
                .filter(other ->
                        !other.session().daemon().equals(member.process().daemon()))
                .map(WitnessMaintenance::candidate)
                .toList();
        return WitnessSelector.select(
                member, others, kept, avoided, context.settings().witnesses());
    }

    private Set<ProcessId> avoided(Set<ProcessId> bad) {
        avoidUntilNanos.values().removeIf(context::isDue);
        Set<ProcessId> avoided = new HashSet<>(bad);
        avoided.addAll(avoidUntilNanos.keySet());
        view.record().members().stream()
                .filter(member -> member.state() == MemberState.LEAVING)
                .map(Member::session)
                .map(SessionId::process)
                .forEach(avoided::add);
        return avoided;
    }

    private long zones(List<ProcessId> witnesses) {
        Set<AvailabilityZone> zones = new HashSet<>();
        witnesses.forEach(witness -> view.memberOf(witness).map(Member::zone).ifPresent(zones::add));
        return zones.size();
    }

    private boolean isSelf(ProcessId process) {
        return process.equals(context.profile().process());
    }

    private Candidate self() {
        return new Candidate(context.profile().process(), context.profile().zone());
    }

    private static Candidate candidate(Member member) {
        return new Candidate(member.session().process(), member.zone());
    }
}
