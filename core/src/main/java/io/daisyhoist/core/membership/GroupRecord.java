package io.daisyhoist.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Members and partition grants of one group, as kept in the platform's store.
 *
 * <p>Invariants: the version increases by one with each change; a daemon is listed at most once; a partition has at
 * most one grant; the owner of each grant is the current session of a listed member; a grant's epoch is the version
 * that made it. Immutable; lists are sorted by daemon and by partition so that equal records have equal text.
 *
 * @param version number of changes made so far, 0 for the empty record
 * @param members members sorted by daemon
 * @param grants grants sorted by partition
 */
public record GroupRecord(long version, List<Member> members, List<Grant> grants) {
    /** The record before any daemon has joined. */
    public static final GroupRecord EMPTY = new GroupRecord(0, List.of(), List.of());

    /** Sorts and copies the lists. */
    public GroupRecord {
        members = members.stream()
                .sorted(Comparator.comparing((Member member) -> member.session().daemon()))
                .toList();
        grants = grants.stream().sorted(Comparator.comparing(Grant::partition)).toList();
    }

    /** Finds the member entry of a daemon. */
    public Optional<Member> member(DaemonId daemon) {
        // A loop instead of a stream, because the control thread looks members up at every tick.
        for (Member member : members) {
            if (member.session().daemon().equals(daemon)) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    /** Finds the member entry of a session; empty when the daemon has another session or is not listed. */
    public Optional<Member> member(SessionId session) {
        return member(session.daemon()).filter(member -> member.session().equals(session));
    }

    /** Finds the grant of a partition. */
    public Optional<Grant> grant(PartitionId partition) {
        return grants.stream()
                .filter(grant -> grant.partition().equals(partition))
                .findFirst();
    }

    /** Returns the grants of a session. */
    public List<Grant> grantsOf(SessionId session) {
        return grants.stream().filter(grant -> grant.owner().equals(session)).toList();
    }

    /** Returns whether enough members are listed for leases to survive the loss of one member. */
    @JsonIgnore
    public boolean hasQuorumSize() {
        return members.size() >= MIN_MEMBERS;
    }

    /** Fewest members that can hold leases: with three, the loss of one leaves a majority of witnesses. */
    public static final int MIN_MEMBERS = 3;
}
