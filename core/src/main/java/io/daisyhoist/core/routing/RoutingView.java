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
 * Snapshot of a group record and a configuration for routing requests. Immutable, so it may be published between
 * threads. All look-ups take constant time.
 */
public final class RoutingView {
    private final long version;
    private final boolean quorumSize;
    private final EffectiveConfig config;
    private final Map<DaemonId, Member> members = new HashMap<>();
    private final Map<PartitionId, Grant> grants = new HashMap<>();
    private final Map<ServiceName, List<Member>> loadBalanced = new HashMap<>();

    private RoutingView(GroupRecord group, EffectiveConfig config) {
        this.version = group.version();
        this.quorumSize = group.hasQuorumSize();
        this.config = config;
        group.members().forEach(member -> members.put(member.session().daemon(), member));
        group.grants().forEach(grant -> grants.put(grant.partition(), grant));
        group.members().stream()
                .map(Member::service)
                .distinct()
                .forEach(service -> loadBalanced.put(service, selectable(group, config, service)));
    }

    /** Builds the view. */
    public static RoutingView of(GroupRecord group, EffectiveConfig config) {
        return new RoutingView(group, config);
    }

    /** Returns the version of the group record. */
    public long version() {
        return version;
    }

    /** Returns whether the group has enough members for leases. */
    public boolean hasQuorumSize() {
        return quorumSize;
    }

    /** Returns the configuration. */
    public EffectiveConfig config() {
        return config;
    }

    /** Returns the partition of a key; empty when the service is unknown or does not own keys. */
    public Optional<PartitionId> partitionOf(ServiceName service, String key) {
        return config.service(service)
                .filter(settings -> settings.partitions() > 0)
                .map(settings -> Partitioner.partitionOf(service, key, settings.partitions()));
    }

    /** Finds the grant of a partition. */
    public Optional<Grant> grant(PartitionId partition) {
        return Optional.ofNullable(grants.get(partition));
    }

    /** Finds the member that owns a partition. */
    public Optional<Member> owner(PartitionId partition) {
        return grant(partition)
                .flatMap(grant -> member(grant.owner().daemon())
                        .filter(member -> member.session().equals(grant.owner())));
    }

    /** Finds a member by daemon. */
    public Optional<Member> member(DaemonId daemon) {
        return Optional.ofNullable(members.get(daemon));
    }

    /** Returns the members that may get new requests without a key: active and in a zone that is not out. */
    public List<Member> selectable(ServiceName service) {
        return loadBalanced.getOrDefault(service, List.of());
    }

    private static List<Member> selectable(GroupRecord group, EffectiveConfig config, ServiceName service) {
        return group.members().stream()
                .filter(member -> member.service().equals(service))
                .filter(member -> member.state() == MemberState.ACTIVE)
                .filter(member -> !config.isOut(member.zone()))
                .toList();
    }
}
