package io.daisyhoist.core.membership;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.SessionId;

/** Policy that decides which members own which partitions. Implementations are stateless. */
public interface Placement {
    /**
     * Returns the partitions without a grant, in order. Services without keys have partitions too, which hold their
     * attempt records.
     */
    List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config);

    /**
     * Chooses owners for partitions.
     *
     * @param excluded sessions that receive no partitions
     * @return an owner per partition; a partition without an eligible member is absent
     */
    Map<PartitionId, SessionId> place(
            GroupRecord record, EffectiveConfig config, Collection<PartitionId> partitions, Set<SessionId> excluded);

    /**
     * Plans moves that reduce the load of the most loaded members.
     *
     * @param loads load by partition in any unit; a partition without an entry has load 1
     * @param remainingMoves number of moves still allowed to or from a member; a member without an entry has none
     */
    List<PartitionMove> rebalance(
            GroupRecord record,
            EffectiveConfig config,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> remainingMoves);
}
