package io.daisyhoist.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;

/** Latest known group record. The version never goes back. Not thread-safe. */
final class GroupView {
    private final ControlContext context;
    private final Map<ProcessId, Endpoint> endpoints = new HashMap<>();
    private GroupRecord record = GroupRecord.EMPTY;
    private long revision;
    private boolean known;
    private long membersSinceNanos;

    GroupView(ControlContext context) {
        this.context = context;
        membersSinceNanos = context.time().monotonicNanos();
    }

    GroupRecord record() {
        return record;
    }

    long revision() {
        return revision;
    }

    /** Returns whether the platform has been read; an absent record counts. */
    boolean isKnown() {
        return known;
    }

    /** Returns the monotonic reading since which the members are the same. */
    long membersSinceNanos() {
        return membersSinceNanos;
    }

    /** Takes over a committed record unless its version is known already; returns whether it is new. */
    boolean accept(GroupRecord update, long updateRevision) {
        boolean first = !known;
        known = true;
        if (update.version() <= record.version()) {
            return first;
        }
        if (!sessions(update).equals(sessions(record))) {
            membersSinceNanos = context.time().monotonicNanos();
        }
        record = update;
        revision = updateRevision;
        rememberEndpoints();
        return true;
    }

    /**
     * Finds the address of a listed process, or of a witness that was listed earlier. A daemon keeps its address, so that
     * of a later process of the same daemon serves as well.
     */
    Optional<Endpoint> endpoint(ProcessId process) {
        return Optional.ofNullable(endpoints.get(process))
                .or(() -> record.member(process.daemon()).map(Member::peer));
    }

    /** Finds the listed member of a process. */
    Optional<Member> memberOf(ProcessId process) {
        return record.member(process.daemon())
                .filter(member -> member.session().process().equals(process));
    }

    /** Finds the entry of this daemon, which may belong to an earlier process. */
    Optional<Member> ownEntry() {
        return record.member(context.profile().process().daemon());
    }

    private void rememberEndpoints() {
        // A witness that lost its membership still answers for its incarnation, so its address stays known.
        endpoints
                .keySet()
                .removeIf(process -> record.members().stream()
                        .noneMatch(member -> member.witnesses().contains(process)));
        record.members().forEach(member -> endpoints.put(member.session().process(), member.peer()));
    }

    private static List<Object> sessions(GroupRecord of) {
        return of.members().stream().<Object>map(Member::session).toList();
    }
}
