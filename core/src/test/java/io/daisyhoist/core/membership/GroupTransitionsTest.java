package io.daisyhoist.core.membership;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.model.SessionId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against committed records that break the invariants of {@link GroupRecord}. */
class GroupTransitionsTest {
    private static final ServiceName SERVICE = new ServiceName("archive");
    private static final PartitionId FIRST = new PartitionId(SERVICE, 0);
    private static final PartitionId SECOND = new PartitionId(SERVICE, 1);
    private static final SessionId A = session("a");
    private static final SessionId B = session("b");
    private static final List<ProcessId> WITNESSES =
            List.of(session("a").process(), session("b").process(), session("c").process());

    private final GroupRecord granted = GroupTransitions.assign(
            GroupTransitions.join(GroupTransitions.join(GroupRecord.EMPTY, member(A)), member(B)),
            Map.of(FIRST, A, SECOND, A));

    private static SessionId session(String name) {
        return new SessionId(new DaemonId(name), 1, 1);
    }

    private static Member member(SessionId session) {
        Endpoint endpoint = new Endpoint("127.0.0.1", 1);
        AvailabilityZone zone = new AvailabilityZone("zone");
        return new Member(session, endpoint, endpoint, "region", zone, SERVICE, MemberState.ACTIVE, WITNESSES);
    }

    @Test
    void move_givesNewEpochToMovedPartitionOnly() {
        GroupRecord moved = GroupTransitions.move(granted, A, Map.of(FIRST, B));
        assertEquals(4, moved.version());
        assertEquals(Optional.of(new Grant(FIRST, B, 4)), moved.grant(FIRST));
        assertEquals(Optional.of(new Grant(SECOND, A, 3)), moved.grant(SECOND));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.move(moved, A, Map.of(FIRST, A)));
    }

    @Test
    void failover_dropsGrantsWithoutNewOwner() {
        GroupRecord updated = GroupTransitions.failover(granted, A, Map.of(FIRST, B));
        assertEquals(List.of(new Grant(FIRST, B, 4)), updated.grants());
        assertEquals(Optional.empty(), updated.member(A));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.failover(updated, A, Map.of()));
    }

    @Test
    void rejoin_needsNewSessionOfSameDaemon() {
        GroupRecord updated = GroupTransitions.rejoin(granted, A, member(A.next()), Map.of(FIRST, A.next()));
        assertEquals(List.of(new Grant(FIRST, A.next(), 4)), updated.grants());
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.rejoin(granted, A, member(A), Map.of()));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.rejoin(granted, A, member(B), Map.of()));
    }

    @Test
    void assign_refusesUnlistedOwnerOwnerWithoutQuorumAndGrantedPartition() {
        PartitionId third = new PartitionId(SERVICE, 2);
        GroupRecord withoutWitnesses = GroupTransitions.changeWitnesses(granted, B, List.of());
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.assign(granted, Map.of(third, session("c"))));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.assign(withoutWitnesses, Map.of(third, B)));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.assign(granted, Map.of(FIRST, B)));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.leave(granted, A));
        assertThrows(DaisyhoistException.class, () -> GroupTransitions.join(granted, member(A.next())));
    }
}
