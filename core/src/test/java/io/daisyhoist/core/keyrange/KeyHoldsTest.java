package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendLife;
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

class KeyHoldsTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final DaemonId SELF = new DaemonId("self");
    private static final DaemonId OTHER = new DaemonId("other");
    private static final BackendLife LIFE = new BackendLife("b", 100);
    private static final BackendLife OTHER_LIFE = new BackendLife("c", 100);
    private static final Duration HORIZON = Duration.ofSeconds(9);
    private static final Duration HOLD = Duration.ofSeconds(5);

    private final ManualTimeSource time = new ManualTimeSource();
    private final HoldRight right = new HoldRight(time, HORIZON, HOLD);
    private final KeyHolds holds = new KeyHolds(time, SELF, right, Duration.ofSeconds(10));
    private final RangeTable table = new RangeTable(
            SERVICE,
            7,
            List.of(
                    RangeAssignment.of(new KeyRange(0, 99), SELF, LIFE, 5, ""),
                    RangeAssignment.of(new KeyRange(100, 199), OTHER, OTHER_LIFE, 7, "")));

    private BackendHeartbeat heartbeat(
            BackendLife life, long sequence, List<HeldRange> held, ReleasedRange... released) {
        return new BackendHeartbeat(
                life,
                sequence,
                new Endpoint("127.0.0.1", 1000),
                SERVICE,
                6,
                false,
                Duration.ZERO,
                held,
                List.of(released));
    }

    private Optional<KeyHolds.Reply> exchange(BackendHeartbeat heartbeat) {
        holds.onHeartbeat(heartbeat);
        return holds.reply(heartbeat, table);
    }

    private void confirm() {
        right.onConfirmed(ElapsedTimer.start(time));
    }

    @Nested
    class Right {
        /** Guards against holds of a daemon that the store does not know. */
        @Test
        void reply_withoutConfirmation_renewsNothing() {
            assertEquals(Optional.empty(), exchange(heartbeat(LIFE, 1, List.of())));
        }

        /** Guards against a hold that outlives the right, after which another daemon may have the keys. */
        @Test
        void reply_nearTheEndOfTheRight_holdsForLess() {
            confirm();
            time.advance(Duration.ofSeconds(7));
            Duration hold =
                    exchange(heartbeat(LIFE, 1, List.of())).orElseThrow().hold();
            assertTrue(hold.multipliedBy(102).dividedBy(100).compareTo(Duration.ofSeconds(2)) <= 0, hold.toString());
            time.advance(Duration.ofSeconds(2));
            assertEquals(Optional.empty(), exchange(heartbeat(LIFE, 2, List.of())));
        }

        /** Guards against a suspended instance whose monotonic clock stood still. */
        @Test
        void reply_afterSuspension_renewsNothing() {
            confirm();
            time.suspend(HORIZON);
            assertEquals(Optional.empty(), exchange(heartbeat(LIFE, 1, List.of())));
        }

        /** Guards against a late answer of the store that would move the right back or forth wrongly. */
        @Test
        void onConfirmed_ofAnEarlierCall_changesNothing() {
            ElapsedTimer early = ElapsedTimer.start(time);
            time.advance(Duration.ofSeconds(3));
            confirm();
            right.onConfirmed(early);
            assertEquals(Optional.of(HOLD), right.hold());
        }
    }

    @Nested
    class Grants {
        @Test
        void reply_grantsOwnRowsOnly() {
            confirm();
            assertEquals(
                    List.of(new GrantedRange(new KeyRange(0, 99), 5, "")),
                    exchange(heartbeat(LIFE, 1, List.of())).orElseThrow().ranges());
        }

        /** Guards against keys for a restarted process under the token of the earlier one. */
        @Test
        void reply_toAnotherProcess_grantsNothing() {
            confirm();
            BackendLife restarted = new BackendLife("b", 200);
            assertEquals(
                    List.of(),
                    exchange(heartbeat(restarted, 1, List.of())).orElseThrow().ranges());
        }
    }

    @Nested
    class Moves {
        private final RangeMove move = new RangeMove(new KeyRange(10, 19), OTHER, OTHER_LIFE);
        private final HeldRange all = new HeldRange(new KeyRange(0, 99), 5);

        private void planAndWithdraw() {
            confirm();
            exchange(heartbeat(LIFE, 1, List.of()));
            holds.plan(move);
            List<GrantedRange> rest =
                    exchange(heartbeat(LIFE, 2, List.of(all))).orElseThrow().ranges();
            assertEquals(
                    List.of(new KeyRange(0, 9), new KeyRange(20, 99)),
                    rest.stream().map(GrantedRange::range).toList());
        }

        /** Guards against keys that move while the former holder still works on them. */
        @Test
        void readyMoves_whileKeysAreHeld_none() {
            planAndWithdraw();
            exchange(heartbeat(LIFE, 3, List.of(all)));
            assertEquals(List.of(), holds.readyMoves());
        }

        /** Guards against a heartbeat that was sent before the grant was withdrawn. */
        @Test
        void readyMoves_heartbeatBeforeWithdrawal_none() {
            confirm();
            exchange(heartbeat(LIFE, 1, List.of()));
            holds.plan(move);
            holds.onHeartbeat(heartbeat(LIFE, 2, List.of()));
            assertEquals(List.of(), holds.readyMoves());
        }

        @Test
        void readyMoves_released_carriesTheTokenToTheNextHolder() {
            planAndWithdraw();
            exchange(heartbeat(
                    LIFE,
                    3,
                    List.of(new HeldRange(new KeyRange(0, 9), 5), new HeldRange(new KeyRange(20, 99), 5)),
                    new ReleasedRange(new KeyRange(10, 19), "token")));
            assertEquals(List.of(move), holds.readyMoves());
            RangeTable next = RangePlanner.apply(table, SELF, holds.readyMoves(), holds);
            RangeAssignment moved = next.find(15).orElseThrow();
            assertEquals(RangeAssignment.of(new KeyRange(10, 19), OTHER, OTHER_LIFE, 8, "token"), moved);
            assertEquals(5, next.find(50).orElseThrow().fence());
        }

        /** Guards against keys that nobody serves: given up for a move that was dropped before it was written. */
        @Test
        void retainMoves_givenUpButNotWritten_grantsTheKeysAgainUnderTheirToken() {
            planAndWithdraw();
            exchange(heartbeat(LIFE, 3, List.of(), new ReleasedRange(new KeyRange(10, 19), "token")));
            assertEquals(List.of(move), holds.readyMoves());
            holds.retainMoves(any -> false);
            assertEquals(
                    Set.of(
                            new GrantedRange(new KeyRange(0, 9), 5, ""),
                            new GrantedRange(new KeyRange(10, 19), 5, "token"),
                            new GrantedRange(new KeyRange(20, 99), 5, "")),
                    Set.copyOf(exchange(heartbeat(LIFE, 4, List.of()))
                            .orElseThrow()
                            .ranges()));
        }

        /** Guards against two holders: a write whose answer was lost may still take effect. */
        @Test
        void retainMoves_written_keepsTheKeysWithdrawn() {
            planAndWithdraw();
            exchange(heartbeat(LIFE, 3, List.of()));
            holds.onWriting(holds.readyMoves());
            holds.retainMoves(any -> false);
            assertEquals(List.of(move), holds.readyMoves());
        }

        /** Guards against keys that never move because their holder fell silent. */
        @Test
        void readyMoves_silentHolder_readyWhenAllHoldsHaveEnded() {
            time.advance(Duration.ofSeconds(11));
            planAndWithdraw();
            time.advance(HOLD);
            assertEquals(List.of(), holds.readyMoves(), "the holder's clock may be slow");
            time.advance(Duration.ofMillis(200));
            assertEquals(List.of(move), holds.readyMoves());
        }
    }

    @Nested
    class Restart {
        /** Guards against keys that move while the backend server still holds them from the daemon's earlier process. */
        @Test
        void readyMoves_afterTheFirstHeartbeat_earlierHoldsStillCount() {
            holds.onHeartbeat(heartbeat(LIFE, 5, List.of(new HeldRange(new KeyRange(0, 99), 5))));
            holds.plan(new RangeMove(new KeyRange(10, 19), OTHER, OTHER_LIFE));
            assertEquals(List.of(), holds.readyMoves());
            time.advance(Duration.ofMillis(10_400));
            assertEquals(1, holds.readyMoves().size());
        }

        /** Guards against keys that are given away while an earlier process' holds last. */
        @Test
        void holdsEnded_afterStart_onlyAfterTheLongestHold() {
            time.advance(Duration.ofSeconds(10));
            assertFalse(holds.holdsEnded());
            time.advance(Duration.ofMillis(400));
            assertTrue(holds.holdsEnded());
        }
    }
}
