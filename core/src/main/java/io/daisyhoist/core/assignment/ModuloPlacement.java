package io.daisyhoist.core.assignment;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.OwnerEligibility;
import io.daisyhoist.core.membership.PartitionMove;
import io.daisyhoist.core.membership.Placement;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/**
 * Baseline for comparison: assigns a partition by its index modulo the number of eligible members. Ignores loads and
 * move limits, and moves most partitions when a member joins or leaves. Stateless and thread-safe.
 */
public final class ModuloPlacement implements Placement {
    @Override
    public List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config) {
        return ConfiguredPartitions.unassigned(record, config);
    }

    @Override
    public Map<PartitionId, SessionId> place(
            GroupRecord record, EffectiveConfig config, Collection<PartitionId> partitions, Set<SessionId> excluded) {
        Map<PartitionId, SessionId> owners = new HashMap<>();
        for (PartitionId partition : partitions) {
            List<SessionId> eligible = record.members().stream()
                    .filter(member -> OwnerEligibility.isEligible(member, partition.service(), config))
                    .map(Member::session)
                    .filter(session -> !excluded.contains(session))
                    .toList();
            if (!eligible.isEmpty()) {
                owners.put(partition, eligible.get(partition.index() % eligible.size()));
            }
        }
        return owners;
    }

    @Override
    public List<PartitionMove> rebalance(
            GroupRecord record,
            EffectiveConfig config,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> remainingMoves) {
        List<PartitionId> granted =
                record.grants().stream().map(Grant::partition).toList();
        Map<PartitionId, SessionId> targetOwners = place(record, config, granted, Set.of());
        return record.grants().stream()
                .filter(grant -> targetOwners.containsKey(grant.partition()))
                .filter(grant -> !targetOwners.get(grant.partition()).equals(grant.owner()))
                .map(grant -> new PartitionMove(grant.partition(), grant.owner(), targetOwners.get(grant.partition())))
                .toList();
    }
}
