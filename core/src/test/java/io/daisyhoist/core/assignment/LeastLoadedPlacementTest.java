package io.daisyhoist.core.assignment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.config.ZoneState;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.GroupTransitions;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.MemberState;
import io.daisyhoist.core.membership.PartitionMove;
import io.daisyhoist.core.membership.Placement;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeastLoadedPlacementTest {
    private static final ServiceName SERVICE = new ServiceName("archive");
    private static final int PARTITIONS = 24;

    private final LeastLoadedPlacement leastLoaded = new LeastLoadedPlacement();

    private static EffectiveConfig config(Set<AvailabilityZone> out) {
        ServiceSettings settings =
                new ServiceSettings(SERVICE, true, PARTITIONS, 6, 110, 2, false, Set.of(), Duration.ofSeconds(2));
        return new EffectiveConfig(
                1,
                Map.of(SERVICE, settings),
                out.stream().collect(Collectors.toMap(zone -> zone, zone -> ZoneState.OUT)));
    }

    private static Member member(int index) {
        SessionId session = new SessionId(new DaemonId("d" + index), 1, 1);
        Endpoint endpoint = new Endpoint("127.0.0.1", 1000 + index);
        List<ProcessId> witnesses = List.of(
                new ProcessId(new DaemonId("w1"), 1),
                new ProcessId(new DaemonId("w2"), 1),
                new ProcessId(new DaemonId("w3"), 1));
        AvailabilityZone zone = new AvailabilityZone("zone" + index % 3);
        return new Member(session, endpoint, endpoint, "region", zone, SERVICE, MemberState.ACTIVE, witnesses);
    }

    private static GroupRecord groupWithPlacement(Placement placement, int members) {
        GroupRecord record = GroupRecord.EMPTY;
        for (int index = 0; index < members; index++) {
            record = GroupTransitions.join(record, member(index));
        }
        List<PartitionId> unassigned = placement.unassigned(record, config(Set.of()));
        return GroupTransitions.assign(record, placement.place(record, config(Set.of()), unassigned, Set.of()));
    }

    private static Map<SessionId, Integer> remainingMoves(GroupRecord record, int moves) {
        return record.members().stream().collect(Collectors.toMap(Member::session, member -> moves));
    }

    private static List<Integer> partitionCounts(GroupRecord record) {
        return record.members().stream()
                .map(member -> record.grantsOf(member.session()).size())
                .toList();
    }

    /** Applies the planned moves until none is planned; returns their number. */
    private static int rebalanceUntilStable(Placement placement, GroupRecord start, List<GroupRecord> result) {
        GroupRecord record = start;
        int moves = 0;
        List<PartitionMove> plan = placement.rebalance(record, config(Set.of()), Map.of(), remainingMoves(record, 2));
        while (!plan.isEmpty()) {
            for (PartitionMove move : plan) {
                record = GroupTransitions.move(record, move.from(), Map.of(move.partition(), move.to()));
                moves++;
            }
            plan = placement.rebalance(record, config(Set.of()), Map.of(), remainingMoves(record, 2));
        }
        result.add(record);
        return moves;
    }

    @Test
    void place_spreadsEvenlyAndSkipsOutZonesAndLeavingMembers() {
        assertEquals(List.of(6, 6, 6, 6), partitionCounts(groupWithPlacement(leastLoaded, 4)));
        GroupRecord record = groupWithPlacement(leastLoaded, 4);
        GroupRecord leaving = GroupTransitions.changeState(record, member(1).session(), MemberState.LEAVING);
        List<PartitionId> all = record.grants().stream().map(Grant::partition).toList();
        Set<SessionId> owners = Set.copyOf(leastLoaded
                .place(leaving, config(Set.of(new AvailabilityZone("zone0"))), all, Set.of())
                .values());
        assertEquals(Set.of(member(2).session()), owners);
    }

    @Test
    void rebalance_movesLessThanBaselineWhenMemberJoins() {
        List<GroupRecord> rebalanced = new ArrayList<>();
        int moves = rebalanceUntilStable(
                leastLoaded, GroupTransitions.join(groupWithPlacement(leastLoaded, 4), member(4)), rebalanced);
        int baselineMoves = rebalanceUntilStable(
                new ModuloPlacement(),
                GroupTransitions.join(groupWithPlacement(new ModuloPlacement(), 4), member(4)),
                rebalanced);
        assertEquals(4, moves, "24 partitions on 5 members");
        assertEquals(16, baselineMoves, "indices 0-3 and 20-23 stay");
        assertTrue(partitionCounts(rebalanced.get(0)).stream().allMatch(count -> count >= 4 && count <= 6));
    }

    @Test
    void rebalance_ignoresNoiseAndKeepsToMoveLimit() {
        GroupRecord record = groupWithPlacement(leastLoaded, 4);
        Random random = new Random(1);
        Map<PartitionId, Double> loads = new HashMap<>();
        record.grants().forEach(grant -> loads.put(grant.partition(), 0.8 + 0.4 * random.nextDouble()));
        assertEquals(List.of(), leastLoaded.rebalance(record, config(Set.of()), loads, remainingMoves(record, 2)));

        record.grantsOf(member(0).session()).forEach(grant -> loads.put(grant.partition(), 3.0));
        List<PartitionMove> plan = leastLoaded.rebalance(record, config(Set.of()), loads, remainingMoves(record, 2));
        assertEquals(2, plan.size());
        assertTrue(plan.stream().allMatch(move -> move.from().equals(member(0).session())));
    }
}
