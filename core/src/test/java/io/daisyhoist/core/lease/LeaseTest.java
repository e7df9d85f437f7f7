package io.daisyhoist.core.lease;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;

import io.daisyhoist.core.lease.WitnessSelector.Candidate;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.model.SessionId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaseTest {
    private static final LeaseSettings SETTINGS = LeaseSettings.DEFAULT;
    private static final SessionId SESSION = new SessionId(new DaemonId("owner"), 7, 1);
    private static final List<ProcessId> WITNESSES = List.of(process("w1"), process("w2"), process("w3"));

    private final ManualClock clock = new ManualClock();

    private static final class ManualClock implements TimeSource {
        private long nanos;
        private Instant wall = Instant.EPOCH;

        @Override
        public long monotonicNanos() {
            return nanos;
        }

        @Override
        public Instant wallTime() {
            return wall;
        }

        private void advance(Duration monotonic, Duration wallClock) {
            nanos += monotonic.toNanos();
            wall = wall.plus(wallClock);
        }

        private void advance(Duration both) {
            advance(both, both);
        }
    }

    private static ProcessId process(String name) {
        return new ProcessId(new DaemonId(name), 1);
    }

    @Nested
    class Owner {
        private final SessionLease lease = new SessionLease(SESSION, SETTINGS);

        private void acknowledge(ProcessId witness) {
            lease.acknowledge(witness, ElapsedTimer.start(clock));
        }

        private boolean isValid() {
            return lease.snapshot().isValid(clock);
        }

        @Test
        void snapshot_expiresOneTtlLessDriftMarginAfterSendToMajority() {
            lease.setWitnesses(WITNESSES);
            acknowledge(WITNESSES.get(0));
            assertFalse(isValid());
            clock.advance(Duration.ofMillis(500));
            acknowledge(WITNESSES.get(1));
            clock.advance(Duration.ofMillis(1494));
            assertTrue(isValid());
            clock.advance(Duration.ofMillis(1));
            assertFalse(isValid(), "1995 ms after the earlier of two sends");
        }

        @Test
        void snapshot_monotonicClockStopped_expiresOnWallClock() {
            lease.setWitnesses(WITNESSES);
            WITNESSES.forEach(this::acknowledge);
            clock.advance(Duration.ZERO, Duration.ofMillis(1995));
            assertFalse(isValid());
        }

        @Test
        void snapshot_changeUndecided_requiresJointMajority() {
            List<ProcessId> proposed = List.of(process("w4"), process("w5"), process("w3"));
            lease.setWitnesses(WITNESSES);
            WITNESSES.forEach(this::acknowledge);
            lease.startChange(proposed);
            assertFalse(isValid(), "one of three proposed witnesses");
            acknowledge(process("w4"));
            assertTrue(isValid());
            lease.setWitnesses(proposed);
            lease.finishChange();
            assertTrue(isValid());
            assertEquals(proposed, lease.heartbeatTargets());
        }
    }

    @Nested
    class Witness {
        private final LeaseWitness witness = new LeaseWitness(SETTINGS.ttl(), clock);

        @Test
        void fence_afterPromiseExpired_isPermanent() {
            witness.setListedSessions(Set.of(SESSION));
            assertEquals(HeartbeatOutcome.ACKNOWLEDGED, witness.heartbeat(SESSION));
            clock.advance(Duration.ofMillis(2099), Duration.ofHours(1));
            assertEquals(FenceOutcome.promised(Duration.ofMillis(1)), witness.fence(SESSION));
            clock.advance(Duration.ofMillis(1));
            assertEquals(FenceOutcome.FENCED, witness.fence(SESSION));
            assertEquals(HeartbeatOutcome.FENCED, witness.heartbeat(SESSION));
        }

        @Test
        void setListedSessions_removedSession_isRefused() {
            witness.setListedSessions(Set.of(SESSION));
            witness.fence(SESSION);
            witness.setListedSessions(Set.of(SESSION.next()));
            assertEquals(HeartbeatOutcome.NOT_A_WITNESS, witness.heartbeat(SESSION));
            assertEquals(FenceOutcome.NOT_A_WITNESS, witness.fence(SESSION));
        }
    }

    @Nested
    class Selection {
        private final Candidate member = candidate("owner", "a");

        private Candidate candidate(String name, String zone) {
            return new Candidate(process(name), new AvailabilityZone(zone));
        }

        @Test
        void select_prefersDifferentZonesThenOwnZone() {
            List<Candidate> others = List.of(
                    candidate("a1", "a"),
                    candidate("a2", "a"),
                    candidate("b1", "b"),
                    candidate("b2", "b"),
                    candidate("c1", "c"));
            List<ProcessId> selected = WitnessSelector.select(member, others, Set.of(process("b2")), Set.of(), 3);
            assertEquals(Set.of(process("b2"), process("c1")), Set.copyOf(selected.subList(0, 2)));
            assertTrue(selected.get(2).daemon().name().startsWith("a"), "third zone");
        }

        @Test
        void select_threeMembersIncludeSelf_twoMembersHaveNone() {
            List<Candidate> others = List.of(candidate("b1", "b"), candidate("c1", "c"));
            assertEquals(
                    Set.of(process("owner"), process("b1"), process("c1")),
                    Set.copyOf(WitnessSelector.select(member, others, Set.of(), Set.of(), 3)));
            assertEquals(List.of(), WitnessSelector.select(member, others.subList(0, 1), Set.of(), Set.of(), 3));
        }
    }
}
