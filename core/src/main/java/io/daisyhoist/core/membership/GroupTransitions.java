package io.daisyhoist.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;

/**
 * Transitions of a group record. Each returns the next version and fails with {@link ErrorCode#INTERNAL} instead of
 * returning a record that breaks an invariant of {@link GroupRecord}. Stateless.
 *
 * <p>These methods cannot check whether a session is alive. The caller ensures that a session whose grants are
 * reassigned is dead (fenced by a majority of its listed witnesses) or is the caller's own session and no longer serves
 * them.
 */
public final class GroupTransitions {
    private GroupTransitions() {}

    /** Adds a member for a daemon that is not listed. */
    public static GroupRecord join(GroupRecord record, Member member) {
        require(record.member(member.session().daemon()).isEmpty(), "already listed: " + member.session());
        List<Member> members = new ArrayList<>(record.members());
        members.add(member);
        return nextVersion(record, members, record.grants());
    }

    /**
     * Replaces a dead session of a daemon by a new one.
     *
     * @param owners new owners of the dead session's partitions; a partition without an entry loses its grant
     */
    public static GroupRecord rejoin(
            GroupRecord record, SessionId dead, Member member, Map<PartitionId, SessionId> owners) {
        requireListed(record, dead);
        require(
                dead.daemon().equals(member.session().daemon()),
                "session belongs to another daemon: " + member.session());
        require(!dead.equals(member.session()), "rejoin requires a new session: " + dead);
        List<Member> members = membersWithout(record, dead);
        members.add(member);
        return nextVersion(record, members, reassignGrants(record, dead, owners));
    }

    /** Removes a member that owns nothing. */
    public static GroupRecord leave(GroupRecord record, SessionId session) {
        requireListed(record, session);
        require(record.grantsOf(session).isEmpty(), "still owns partitions: " + session);
        return nextVersion(record, membersWithout(record, session), record.grants());
    }

    /**
     * Removes a dead session.
     *
     * @param owners new owners of its partitions; a partition without an entry loses its grant
     */
    public static GroupRecord failover(GroupRecord record, SessionId dead, Map<PartitionId, SessionId> owners) {
        requireListed(record, dead);
        return nextVersion(record, membersWithout(record, dead), reassignGrants(record, dead, owners));
    }

    /** Grants partitions without an owner. */
    public static GroupRecord assign(GroupRecord record, Map<PartitionId, SessionId> owners) {
        List<Grant> grants = new ArrayList<>(record.grants());
        owners.forEach((partition, owner) -> {
            require(record.grant(partition).isEmpty(), "already granted: " + partition);
            grants.add(new Grant(partition, owner, record.version() + 1));
        });
        return nextVersion(record, record.members(), grants);
    }

    /**
     * Reassigns partitions of one owner, or gives them a new epoch when the next owner is the same session.
     *
     * @param owners next owner of each moved partition
     */
    public static GroupRecord move(GroupRecord record, SessionId from, Map<PartitionId, SessionId> owners) {
        owners.keySet()
                .forEach(partition -> require(
                        record.grant(partition)
                                .filter(grant -> grant.owner().equals(from))
                                .isPresent(),
                        from + " does not own " + partition));
        List<Grant> grants = record.grants().stream()
                .map(grant -> owners.containsKey(grant.partition())
                        ? new Grant(grant.partition(), owners.get(grant.partition()), record.version() + 1)
                        : grant)
                .toList();
        return nextVersion(record, record.members(), grants);
    }

    public static GroupRecord changeWitnesses(GroupRecord record, SessionId session, List<ProcessId> witnesses) {
        return changeMember(record, session, member -> member.withWitnesses(witnesses));
    }

    public static GroupRecord changeState(GroupRecord record, SessionId session, MemberState state) {
        return changeMember(record, session, member -> member.withState(state));
    }

    private static GroupRecord changeMember(GroupRecord record, SessionId session, UnaryOperator<Member> change) {
        requireListed(record, session);
        List<Member> members = record.members().stream()
                .map(member -> member.session().equals(session) ? change.apply(member) : member)
                .toList();
        return nextVersion(record, members, record.grants());
    }

    private static List<Member> membersWithout(GroupRecord record, SessionId session) {
        return new ArrayList<>(record.members().stream()
                .filter(member -> !member.session().equals(session))
                .toList());
    }

    private static List<Grant> reassignGrants(GroupRecord record, SessionId dead, Map<PartitionId, SessionId> owners) {
        List<Grant> grants = new ArrayList<>();
        for (Grant grant : record.grants()) {
            if (!grant.owner().equals(dead)) {
                grants.add(grant);
            } else if (owners.containsKey(grant.partition())) {
                grants.add(new Grant(grant.partition(), owners.get(grant.partition()), record.version() + 1));
            }
        }
        return grants;
    }

    private static GroupRecord nextVersion(GroupRecord record, List<Member> members, List<Grant> grants) {
        GroupRecord next = new GroupRecord(record.version() + 1, members, grants);
        requireValid(next);
        return next;
    }

    private static void requireValid(GroupRecord record) {
        Set<DaemonId> daemons = new HashSet<>();
        for (Member member : record.members()) {
            require(daemons.add(member.session().daemon()), "daemon listed more than once: " + member.session());
            require(
                    new HashSet<>(member.witnesses()).size()
                            == member.witnesses().size(),
                    "witness listed more than once: " + member.session());
        }
        Set<PartitionId> partitions = new HashSet<>();
        for (Grant grant : record.grants()) {
            require(partitions.add(grant.partition()), "partition granted more than once: " + grant.partition());
            require(grant.epoch() <= record.version(), "epoch is newer than the record version: " + grant);
            requireOwner(record, grant);
        }
    }

    private static void requireOwner(GroupRecord record, Grant grant) {
        Member owner = record.member(grant.owner()).orElseThrow(() -> invalidChange("owner is not listed: " + grant));
        require(owner.service().equals(grant.partition().service()), "owner belongs to another service: " + grant);
        require(
                owner.witnesses().size() >= GroupRecord.MIN_MEMBERS,
                "owner has too few witnesses for a quorum: " + grant);
    }

    private static void requireListed(GroupRecord record, SessionId session) {
        require(record.member(session).isPresent(), "not listed: " + session);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw invalidChange(message);
        }
    }

    private static DaisyhoistException invalidChange(String message) {
        return new DaisyhoistException(ErrorCode.INTERNAL, "invalid group change: " + message);
    }
}
