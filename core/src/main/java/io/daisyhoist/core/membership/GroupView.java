package io.daisyhoist.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;

/** Latest known group record. Its version never decreases. Not thread-safe. */
final class GroupView {
    private final ControllerContext context;
    private final Map<ProcessId, Endpoint> endpoints = new HashMap<>();
    private GroupRecord record = GroupRecord.EMPTY;
    private long revision;
    private boolean known;
    private long membersUnchangedSinceNanos;

    GroupView(ControllerContext context) {
        this.context = context;
        membersUnchangedSinceNanos = context.time().monotonicNanos();
    }

    GroupRecord record() {
        return record;
    }

    long revision() {
        return revision;
    }

    /** Returns whether the record has been read, even if it did not exist in the platform. */
    boolean isKnown() {
        return known;
    }

    /** Returns the monotonic time of the last change of the members, in nanoseconds. */
    long membersUnchangedSinceNanos() {
        return membersUnchangedSinceNanos;
    }

    /** Applies a committed record unless its version is already known; returns whether anything changed. */
    boolean update(GroupRecord newRecord, long newRevision) {
        boolean firstRecord = !known;
        known = true;
        if (newRecord.version() <= record.version()) {
            return firstRecord;
        }
        if (!sessions(newRecord).equals(sessions(record))) {
            membersUnchangedSinceNanos = context.time().monotonicNanos();
        }
        record = newRecord;
        revision = newRevision;
        updateEndpoints();
        return true;
    }

    /**
     * Finds the address of a listed process, or of a witness that was listed earlier. A daemon keeps its address across
     * restarts, so the address of a later process of the same daemon is used as a fallback.
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

    /** Finds the member of this daemon, which may belong to an earlier process. */
    Optional<Member> localMember() {
        return record.member(context.profile().process().daemon());
    }

    private void updateEndpoints() {
        // A witness that is no longer a member still answers for its incarnation, so its address is kept.
        endpoints
                .keySet()
                .removeIf(process -> record.members().stream()
                        .noneMatch(member -> member.witnesses().contains(process)));
        record.members().forEach(member -> endpoints.put(member.session().process(), member.peer()));
    }

    private static List<Object> sessions(GroupRecord groupRecord) {
        return groupRecord.members().stream().<Object>map(Member::session).toList();
    }
}
