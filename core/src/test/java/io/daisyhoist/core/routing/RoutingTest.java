package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.config.ZoneState;
import io.daisyhoist.core.membership.Grant;
import io.daisyhoist.core.membership.GroupRecord;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.membership.MemberState;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RoutingTest {
    private static final AvailabilityZone LOCAL = new AvailabilityZone("a");
    private static final AvailabilityZone REMOTE = new AvailabilityZone("b");

    @Nested
    class Selection {
        private final PowerOfTwoChoices selector = new PowerOfTwoChoices(LOCAL, new Random(3));

        private BackendCandidate candidate(String name, AvailabilityZone zone, int inFlight, int reported, long ageMs) {
            return new BackendCandidate(new DaemonId(name), zone, inFlight, reported, 10, Duration.ofMillis(ageMs));
        }

        private Set<String> selectedNames(BackendCandidate... candidates) {
            Set<String> names = new TreeSet<>();
            for (int i = 0; i < 200; i++) {
                selector.select(List.of(candidates))
                        .ifPresent(selected -> names.add(selected.daemon().name()));
            }
            return names;
        }

        @Test
        void select_none_isEmpty() {
            assertEquals(Optional.empty(), selector.select(List.of()));
        }

        @Test
        void select_twoCandidates_prefersTheLessLoadedAndDiscountsOldReports() {
            assertEquals(Set.of("x"), selectedNames(candidate("x", LOCAL, 1, 0, 0), candidate("y", LOCAL, 2, 0, 0)));
            assertEquals(Set.of("x"), selectedNames(candidate("x", LOCAL, 2, 0, 0), candidate("y", LOCAL, 0, 4, 0)));
            assertEquals(
                    Set.of("y"), selectedNames(candidate("x", LOCAL, 2, 0, 0), candidate("y", LOCAL, 0, 4, 2_100)));
        }

        @Test
        void select_localZone_isPreferredUntilUtilizationExceeds80Percent() {
            BackendCandidate remote = candidate("r", REMOTE, 0, 0, 0);
            assertEquals(Set.of("l"), selectedNames(candidate("l", LOCAL, 8, 0, 0), remote));
            assertEquals(Set.of("r"), selectedNames(candidate("l", LOCAL, 9, 0, 0), remote));
            assertEquals(Set.of("r"), selectedNames(remote));
        }
    }

    @Nested
    class Lookup {
        private final ServiceName service = new ServiceName("archive");

        private Member member(int i, MemberState state) {
            SessionId session = new SessionId(new DaemonId("d" + i), i, 1);
            Endpoint endpoint = new Endpoint("127.0.0.1", 1_000 + i);
            AvailabilityZone zone = i % 2 == 0 ? LOCAL : REMOTE;
            return new Member(session, endpoint, endpoint, "r1", zone, service, state, List.of());
        }

        private EffectiveConfig config(Map<AvailabilityZone, ZoneState> zones) {
            ServiceSettings settings =
                    new ServiceSettings(service, true, 16, 6, 110, 2, true, Set.of("POST"), Duration.ofSeconds(1));
            return new EffectiveConfig(4, Map.of(service, settings), zones);
        }

        @Test
        void owner_everyKey_isTheMemberGrantedInTheRecord() {
            List<Member> members = new ArrayList<>();
            List<Grant> grants = new ArrayList<>();
            for (int i = 0; i < 5; i++) {
                members.add(member(i, MemberState.ACTIVE));
            }
            // Partition 15 has no grant.
            for (int i = 0; i < 15; i++) {
                grants.add(new Grant(
                        new PartitionId(service, i), members.get(i % 5).session(), 100 + i));
            }
            GroupRecord record = new GroupRecord(130, members, grants);
            RoutingSnapshot snapshot = RoutingSnapshot.of(record, config(Map.of()));
            for (int i = 0; i < 1_000; i++) {
                PartitionId partition = snapshot.partitionOf(service, "key" + i).orElseThrow();
                assertEquals(record.grant(partition), snapshot.grant(partition));
                Optional<Member> expected = record.grant(partition).flatMap(grant -> record.member(grant.owner()));
                assertEquals(expected, snapshot.owner(partition));
            }
            assertEquals(Optional.empty(), snapshot.partitionOf(new ServiceName("other"), "key"));
        }

        @Test
        void eligibleMembers_leavingOrZoneOut_isExcluded() {
            List<Member> members = List.of(
                    member(0, MemberState.ACTIVE), member(1, MemberState.ACTIVE), member(2, MemberState.LEAVING));
            GroupRecord record = new GroupRecord(1, members, List.of());
            assertEquals(
                    2,
                    RoutingSnapshot.of(record, config(Map.of()))
                            .eligibleMembers(service)
                            .size());
            RoutingSnapshot zoneOut = RoutingSnapshot.of(record, config(Map.of(REMOTE, ZoneState.OUT)));
            assertEquals(List.of(members.get(0)), zoneOut.eligibleMembers(service));
            assertTrue(zoneOut.eligibleMembers(new ServiceName("other")).isEmpty());
        }
    }
}
