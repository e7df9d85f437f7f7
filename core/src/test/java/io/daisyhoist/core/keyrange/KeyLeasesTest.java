package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class KeyLeasesTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final DaemonId SELF = new DaemonId("self");
    private static final DaemonId OTHER = new DaemonId("other");
    private static final BackendProcessId PROCESS = new BackendProcessId("b", 100);
    private static final BackendProcessId OTHER_PROCESS = new BackendProcessId("c", 100);
    private static final Duration VALIDITY = Duration.ofSeconds(9);
    private static final Duration MAX_KEY_LEASE = Duration.ofSeconds(5);

    private final ManualTimeSource time = new ManualTimeSource();
    private final RegistrationLease registrationLease = new RegistrationLease(time, VALIDITY, MAX_KEY_LEASE);
    private final KeyLeases leases = new KeyLeases(time, SELF, registrationLease, Duration.ofSeconds(10));
    private final RangeTable table = new RangeTable(
            SERVICE,
            7,
            List.of(
                    RangeAssignment.of(new KeyRange(0, 99), SELF, PROCESS, 5, ""),
                    RangeAssignment.of(new KeyRange(100, 199), OTHER, OTHER_PROCESS, 7, "")));

    private BackendHeartbeat heartbeat(
            BackendProcessId process, long sequence, List<HeldRange> heldRanges, ReleasedRange... releasedRanges) {
        return new BackendHeartbeat(
                process,
                sequence,
                new Endpoint("127.0.0.1", 1000),
                SERVICE,
                6,
                false,
                Duration.ZERO,
                heldRanges,
                List.of(releasedRanges));
    }

    private Optional<KeyLeases.Reply> exchange(BackendHeartbeat heartbeat) {
        leases.onHeartbeat(heartbeat);
        return leases.reply(heartbeat, table);
    }

    private void confirm() {
        registrationLease.onConfirmed(ElapsedTimer.start(time));
    }

    @Nested
    class LeaseValidity {
        /** Guards against leases granted by a daemon whose registration the store has not confirmed. */
        @Test
        void reply_registrationNotConfirmed_grantsNoLease() {
            assertEquals(Optional.empty(), exchange(heartbeat(PROCESS, 1, List.of())));
        }

        /**
         * Guards against a key lease that outlives the registration lease, after which another daemon may own the keys.
         */
        @Test
        void reply_nearRegistrationLeaseExpiry_grantsShorterLease() {
            confirm();
            time.advance(Duration.ofSeconds(7));
            Duration keyLease =
                    exchange(heartbeat(PROCESS, 1, List.of())).orElseThrow().leaseDuration();
            assertTrue(
                    keyLease.multipliedBy(102).dividedBy(100).compareTo(Duration.ofSeconds(2)) <= 0,
                    keyLease.toString());
            time.advance(Duration.ofSeconds(2));
            assertEquals(Optional.empty(), exchange(heartbeat(PROCESS, 2, List.of())));
        }

        /** Guards against an expired lease that seems valid because the monotonic clock stopped during a suspension. */
        @Test
        void reply_afterSuspension_grantsNoLease() {
            confirm();
            time.suspend(VALIDITY);
            assertEquals(Optional.empty(), exchange(heartbeat(PROCESS, 1, List.of())));
        }

        /** Guards against a wrong lease expiry after a delayed response of the store to an earlier call. */
        @Test
        void onConfirmed_earlierCall_isIgnored() {
            ElapsedTimer early = ElapsedTimer.start(time);
            time.advance(Duration.ofSeconds(3));
            confirm();
            registrationLease.onConfirmed(early);
            assertEquals(Optional.of(MAX_KEY_LEASE), registrationLease.grantableLease());
        }
    }

    @Nested
    class Grants {
        @Test
        void reply_grantsOwnAssignmentsOnly() {
            confirm();
            assertEquals(
                    List.of(new GrantedRange(new KeyRange(0, 99), 5, "")),
                    exchange(heartbeat(PROCESS, 1, List.of())).orElseThrow().ranges());
        }

        /** Guards against keys granted to a restarted process with the fencing token of the earlier process. */
        @Test
        void reply_toAnotherProcess_grantsNothing() {
            confirm();
            BackendProcessId restarted = new BackendProcessId("b", 200);
            assertEquals(
                    List.of(),
                    exchange(heartbeat(restarted, 1, List.of())).orElseThrow().ranges());
        }
    }

    @Nested
    class Moves {
        private final RangeMove move = new RangeMove(new KeyRange(10, 19), OTHER, OTHER_PROCESS);
        private final HeldRange all = new HeldRange(new KeyRange(0, 99), 5);

        private void startMoveAndRevoke() {
            confirm();
            exchange(heartbeat(PROCESS, 1, List.of()));
            leases.startMove(move);
            List<GrantedRange> rest =
                    exchange(heartbeat(PROCESS, 2, List.of(all))).orElseThrow().ranges();
            assertEquals(
                    List.of(new KeyRange(0, 9), new KeyRange(20, 99)),
                    rest.stream().map(GrantedRange::range).toList());
        }

        /** Guards against a move of keys that the previous holder still serves. */
        @Test
        void readyMoves_keysStillHeld_none() {
            startMoveAndRevoke();
            exchange(heartbeat(PROCESS, 3, List.of(all)));
            assertEquals(List.of(), leases.readyMoves());
        }

        /** Guards against a release concluded from a heartbeat sent before the revocation. */
        @Test
        void readyMoves_heartbeatBeforeRevocation_none() {
            confirm();
            exchange(heartbeat(PROCESS, 1, List.of()));
            leases.startMove(move);
            leases.onHeartbeat(heartbeat(PROCESS, 2, List.of()));
            assertEquals(List.of(), leases.readyMoves());
        }

        @Test
        void readyMoves_released_passesHandoverTokenToNextHolder() {
            startMoveAndRevoke();
            exchange(heartbeat(
                    PROCESS,
                    3,
                    List.of(new HeldRange(new KeyRange(0, 9), 5), new HeldRange(new KeyRange(20, 99), 5)),
                    new ReleasedRange(new KeyRange(10, 19), "token")));
            assertEquals(List.of(move), leases.readyMoves());
            RangeTable next = RangePlanner.apply(table, SELF, leases.readyMoves(), leases);
            RangeAssignment moved = next.find(15).orElseThrow();
            assertEquals(RangeAssignment.of(new KeyRange(10, 19), OTHER, OTHER_PROCESS, 8, "token"), moved);
            assertEquals(5, next.find(50).orElseThrow().fence());
        }

        /** Guards against unserved keys: released for a move that was cancelled before it was written. */
        @Test
        void retainMoves_releasedButNotWritten_grantsKeysAgainWithHandoverToken() {
            startMoveAndRevoke();
            exchange(heartbeat(PROCESS, 3, List.of(), new ReleasedRange(new KeyRange(10, 19), "token")));
            assertEquals(List.of(move), leases.readyMoves());
            leases.retainMoves(any -> false);
            assertEquals(
                    Set.of(
                            new GrantedRange(new KeyRange(0, 9), 5, ""),
                            new GrantedRange(new KeyRange(10, 19), 5, "token"),
                            new GrantedRange(new KeyRange(20, 99), 5, "")),
                    Set.copyOf(exchange(heartbeat(PROCESS, 4, List.of()))
                            .orElseThrow()
                            .ranges()));
        }

        /** Guards against two holders: a write whose response was lost may still take effect. */
        @Test
        void retainMoves_writePending_keepsKeysRevoked() {
            startMoveAndRevoke();
            exchange(heartbeat(PROCESS, 3, List.of()));
            leases.onWriteStarted(leases.readyMoves());
            leases.retainMoves(any -> false);
            assertEquals(List.of(move), leases.readyMoves());
        }

        /** Guards against keys that never move because their holder no longer sends heartbeats. */
        @Test
        void readyMoves_holderWithoutHeartbeats_readyWhenAllLeasesHaveExpired() {
            time.advance(Duration.ofSeconds(11));
            startMoveAndRevoke();
            time.advance(MAX_KEY_LEASE);
            assertEquals(List.of(), leases.readyMoves(), "the clock of the holder may be slow");
            time.advance(Duration.ofMillis(200));
            assertEquals(List.of(move), leases.readyMoves());
        }
    }

    @Nested
    class Restart {
        /**
         * Guards against a move of keys that the backend server still holds under a lease of an earlier daemon process.
         */
        @Test
        void readyMoves_afterDaemonRestart_waitsForEarlierLeases() {
            leases.onHeartbeat(heartbeat(PROCESS, 5, List.of(new HeldRange(new KeyRange(0, 99), 5))));
            leases.startMove(new RangeMove(new KeyRange(10, 19), OTHER, OTHER_PROCESS));
            assertEquals(List.of(), leases.readyMoves());
            time.advance(Duration.ofMillis(10_400));
            assertEquals(1, leases.readyMoves().size());
        }

        /** Guards against keys reassigned before the leases of an earlier daemon process expire. */
        @Test
        void allLeasesExpired_afterStart_onlyAfterLongestEarlierLease() {
            time.advance(Duration.ofSeconds(10));
            assertFalse(leases.allLeasesExpired());
            time.advance(Duration.ofMillis(400));
            assertTrue(leases.allLeasesExpired());
        }
    }
}
