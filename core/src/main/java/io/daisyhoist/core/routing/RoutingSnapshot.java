package io.daisyhoist.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.MemberState;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Snapshot of a group record and a configuration, indexed for routing requests. Immutable, so it can be shared between
 * threads. All lookups take constant time.
 */
public final class RoutingSnapshot {
    private final long version;
    private final boolean hasQuorumSize;
    private final EffectiveConfig config;
    private final Map<DaemonId, Member> membersByDaemon = new HashMap<>();
    private final Map<PartitionId, Grant> grantsByPartition = new HashMap<>();
    private final Map<ServiceName, List<Member>> eligibleMembersByService = new HashMap<>();

    private RoutingSnapshot(GroupRecord group, EffectiveConfig config) {
        this.version = group.version();
        this.hasQuorumSize = group.hasQuorumSize();
        this.config = config;
        group.members().forEach(member -> membersByDaemon.put(member.session().daemon(), member));
        group.grants().forEach(grant -> grantsByPartition.put(grant.partition(), grant));
        group.members().stream()
                .map(Member::service)
                .distinct()
                .forEach(service -> eligibleMembersByService.put(service, eligibleMembers(group, config, service)));
    }

    public static RoutingSnapshot of(GroupRecord group, EffectiveConfig config) {
        return new RoutingSnapshot(group, config);
    }

    /** Returns the version of the group record. */
    public long version() {
        return version;
    }

    /** Returns whether the group has enough members for leases. */
    public boolean hasQuorumSize() {
        return hasQuorumSize;
    }

    public EffectiveConfig config() {
        return config;
    }

    /** Returns the partition of a key; empty if the service is unknown or has no partitions. */
    public Optional<PartitionId> partitionOf(ServiceName service, String key) {
        return config.service(service)
                .filter(settings -> settings.partitions() > 0)
                .map(settings -> Partitioner.partitionOf(service, key, settings.partitions()));
    }

    public Optional<Grant> grant(PartitionId partition) {
        return Optional.ofNullable(grantsByPartition.get(partition));
    }

    /** Finds the member that owns a partition. */
    public Optional<Member> owner(PartitionId partition) {
        return grant(partition)
                .flatMap(grant -> member(grant.owner().daemon())
                        .filter(member -> member.session().equals(grant.owner())));
    }

    public Optional<Member> member(DaemonId daemon) {
        return Optional.ofNullable(membersByDaemon.get(daemon));
    }

    /** Returns the members eligible for new requests without a key: active and in a zone that is not out of service. */
    public List<Member> eligibleMembers(ServiceName service) {
        return eligibleMembersByService.getOrDefault(service, List.of());
    }

    private static List<Member> eligibleMembers(GroupRecord group, EffectiveConfig config, ServiceName service) {
        return group.members().stream()
                .filter(member -> member.service().equals(service))
                .filter(member -> member.state() == MemberState.ACTIVE)
                .filter(member -> !config.isOut(member.zone()))
                .toList();
    }
}
