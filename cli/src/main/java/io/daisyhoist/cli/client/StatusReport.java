package io.daisyhoist.cli.client;

import java.util.List;
import java.util.Optional;

/**
 * A daemon's view of its group as reported by its admin port. Immutable.
 *
 * @param daemon id of the daemon
 * @param incarnation random number of its process
 * @param session its session, empty if it is not a member
 * @param zone its availability zone
 * @param service service of its backend server
 * @param groupVersion version of its copy of the group record
 * @param configVersion version of its copy of the configuration
 * @param leaseValid whether its lease is valid, so that it may serve the keys that it owns
 * @param members members of the group
 * @param grants partitions and their owners
 */
public record StatusReport(
        String daemon,
        String incarnation,
        Optional<String> session,
        String zone,
        String service,
        long groupVersion,
        long configVersion,
        boolean leaseValid,
        List<MemberReport> members,
        List<GrantReport> grants) {
    /** Replaces absent values by empty ones. */
    public StatusReport {
        session = session == null ? Optional.empty() : session;
        members = members == null ? List.of() : List.copyOf(members);
        grants = grants == null ? List.of() : List.copyOf(grants);
    }

    /**
     * Member of the group.
     *
     * @param daemon id of its daemon
     * @param zone its availability zone
     * @param service service of its backend server
     * @param state active or leaving
     */
    public record MemberReport(String daemon, String zone, String service, String state) {}

    /**
     * Ownership grant of a partition.
     *
     * @param service service that the partition belongs to
     * @param partition number of the partition
     * @param owner daemon or session that owns it
     * @param epoch epoch of the grant
     */
    public record GrantReport(String service, int partition, String owner, long epoch) {
        /** Returns whether the owner is this member, in any of its sessions. */
        public boolean isOwnedBy(String member) {
            return owner != null && (owner.equals(member) || owner.startsWith(member + "#"));
        }
    }
}
