package io.daisyhoist.core.assignment;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.OwnerEligibility;
import io.daisyhoist.core.membership.PartitionMove;
import io.daisyhoist.core.membership.Placement;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;

/**
 * Places partitions on the least loaded members of their service and rebalances with few moves.
 *
 * <p>Invariants: placement never moves a partition that has an owner; a rebalance does nothing while the load of every
 * member is within 20% of the mean, moves partitions only from members more than 10% above the mean, and each move
 * lowers the higher load of the two members involved. Stateless and thread-safe.
 */
public final class LeastLoadedPlacement implements Placement {
    /**
     * Deviation from the mean load that starts no move: a move briefly interrupts a partition, and noise alone causes
     * deviations of this size.
     */
    private static final double LOAD_TOLERANCE = 0.2;

    @Override
    public List<PartitionId> unassigned(GroupRecord record, EffectiveConfig config) {
        return ConfiguredPartitions.unassigned(record, config);
    }

    @Override
    public Map<PartitionId, SessionId> place(
            GroupRecord record, EffectiveConfig config, Collection<PartitionId> partitions, Set<SessionId> excluded) {
        Map<SessionId, Integer> counts = new HashMap<>();
        record.grants().forEach(grant -> counts.merge(grant.owner(), 1, Integer::sum));
        Map<PartitionId, SessionId> owners = new HashMap<>();
        for (PartitionId partition : new TreeSet<>(partitions)) {
            leastLoaded(record, config, partition.service(), excluded, counts).ifPresent(session -> {
                owners.put(partition, session);
                counts.merge(session, 1, Integer::sum);
            });
        }
        return owners;
    }

    @Override
    public List<PartitionMove> rebalance(
            GroupRecord record,
            EffectiveConfig config,
            Map<PartitionId, Double> loads,
            Map<SessionId, Integer> remainingMoves) {
        List<PartitionMove> moves = new ArrayList<>();
        config.services().keySet().stream().sorted().forEach(service -> {
            List<SessionId> members = record.members().stream()
                    .filter(member -> OwnerEligibility.isEligible(member, service, config))
                    .map(Member::session)
                    .toList();
            moves.addAll(new RebalancePlanner(record, members, loads, remainingMoves, LOAD_TOLERANCE).plan());
        });
        return moves;
    }

    private static Optional<SessionId> leastLoaded(
            GroupRecord record,
            EffectiveConfig config,
            ServiceName service,
            Set<SessionId> excluded,
            Map<SessionId, Integer> counts) {
        return record.members().stream()
                .filter(member -> OwnerEligibility.isEligible(member, service, config))
                .map(Member::session)
                .filter(session -> !excluded.contains(session))
                .min(Comparator.comparingInt(session -> counts.getOrDefault(session, 0)));
    }
}
