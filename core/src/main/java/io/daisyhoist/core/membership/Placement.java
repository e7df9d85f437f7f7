package io.daisyhoist.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Decides which members own which partitions. Implementations are stateless. */
public interface Placement {
    /** Returns the partitions that have no grant, in order; services without keys have some for their attempt records. */
    List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config);

    /**
     * Chooses owners for partitions.
     *
     * @param excluded sessions that receive nothing
     * @return an owner per partition; a partition without an eligible member is absent
     */
    Map<PartitionId, SessionId> place(
            GroupRecord record, EffectiveConfig config, Collection<PartitionId> partitions, Set<SessionId> excluded);

    /**
     * Plans moves that lower the highest load of a member.
     *
     * @param loads load by partition in any unit; a partition without an entry has load 1
     * @param budgets moves still allowed to or from a member; a member without an entry has none
     */
    List<PartitionMove> rebalance(
            GroupRecord record,
            EffectiveConfig config,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> budgets);
}
