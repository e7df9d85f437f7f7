package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RangePlannerTest {
    private static final int SLOTS = 6;
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final RangeOwner A = owner("a");
    private static final RangeOwner B = owner("b");
    private static final Duration SERVICE_TIME = Duration.ofMillis(100);
    private static final RangeOwner C = owner("c");
    private static final Map<DaemonId, Integer> EQUAL_SLOTS =
            Map.of(A.daemon(), SLOTS, B.daemon(), SLOTS, C.daemon(), SLOTS);

    private static RangeOwner owner(String name) {
        return new RangeOwner(new DaemonId(name), new BackendProcessId(name, 1));
    }

    private static int keyCount(RangeTable table, RangeOwner owner) {
        return table.assignmentsOf(owner.daemon()).stream()
                .mapToInt(assignment -> assignment.range().size())
                .sum();
    }

    @Nested
    class Initial {
        @Test
        void initial_coversAllKeysEvenly() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B, C));
            assertEquals(KeyRange.MAX_KEY + 1, keyCount(table, A) + keyCount(table, B) + keyCount(table, C));
            assertTrue(Math.abs(keyCount(table, A) - keyCount(table, C)) <= 1);
        }
    }

    @Nested
    class Reassign {
        /** Guards against keys without an owner, and against one owner receiving all keys, after a loss. */
        @Test
        void reassign_spreadsLostKeysWithHigherFencingTokens() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B, C));
            RangeTable next = RangePlanner.reassign(
                    table, assignment -> assignment.daemon().equals(A.daemon()), List.of(B, C));
            assertEquals(0, keyCount(next, A));
            assertEquals(KeyRange.MAX_KEY + 1, keyCount(next, B) + keyCount(next, C));
            assertTrue(Math.abs(keyCount(next, B) - keyCount(next, C)) < 4_000);
            assertTrue(next.find(0).orElseThrow().fence() > table.lastFence());
        }

        @Test
        void reassign_withoutRemainingOwner_changesNothing() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A));
            assertEquals(table, RangePlanner.reassign(table, assignment -> true, List.of()));
        }
    }

    @Nested
    class UnequalSlots {
        private static final Map<DaemonId, Integer> SLOTS_BY_DAEMON = Map.of(A.daemon(), 4, B.daemon(), 12);

        /** Guards against equal numbers of keys for backend servers of unequal size. */
        @Test
        void initial_unequalSlots_dividesKeysInProportion() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B), SLOTS_BY_DAEMON);
            assertEquals(
                    (KeyRange.MAX_KEY + 1) / 4,
                    table.assignmentsOf(A.daemon()).get(0).range().size());
            assertEquals(
                    KeyRange.MAX_KEY, table.assignmentsOf(B.daemon()).get(0).to());
        }

        /** Guards against a service that never gets a table because the share of a small backend server is less than a key. */
        @Test
        void initial_shareBelowOneKey_leavesOwnerOut() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B), Map.of(A.daemon(), 1, B.daemon(), 100_000));
            assertEquals(List.of(), table.assignmentsOf(A.daemon()));
            assertEquals(
                    KeyRange.MAX_KEY + 1,
                    table.assignmentsOf(B.daemon()).get(0).range().size());
        }

        /** Guards against moves away from a large backend server that has no more than its share of the load. */
        @Test
        void rebalance_loadInProportionToSlots_movesNothing() {
            RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B), SLOTS_BY_DAEMON);
            KeyLoad load = new KeyLoad(new ManualTimeSource());
            for (int key = 20_000; key < 20_100; key++) {
                load.onRequest(key, SERVICE_TIME);
            }
            Map<DaemonId, Double> loads = Map.of(A.daemon(), 2.4, B.daemon(), 7.2);
            assertEquals(
                    List.of(), RangePlanner.rebalance(table, B.daemon(), SLOTS_BY_DAEMON, List.of(A, B), loads, load));
        }
    }

    @Nested
    class Rebalance {
        private final ManualTimeSource time = new ManualTimeSource();
        private final KeyLoad load = new KeyLoad(time);
        private final RangeTable table = RangePlanner.initial(SERVICE, List.of(A, B));

        private List<RangeMove> rebalance(double own, double other) {
            return RangePlanner.rebalance(
                    table, A.daemon(), EQUAL_SLOTS, List.of(A, B), Map.of(A.daemon(), own, B.daemon(), other), load);
        }

        private void requests(int key, int count) {
            for (int i = 0; i < count; i++) {
                load.onRequest(key, SERVICE_TIME);
            }
        }

        /** Guards against moving half of all keys when a few adjacent keys are hot. */
        @Test
        void rebalance_hotKeysCloseTogether_movesNarrowRange() {
            for (int key = 1_000; key < 1_060; key++) {
                requests(key, 4);
            }
            RangeMove move = rebalance(12, 2).get(0);
            assertEquals(B.daemon(), move.daemon());
            assertTrue(move.range().size() <= 60, move.range().toString());
            assertTrue(load.busySlots(move.range()) >= 2.5, "the moved range carries too little of the surplus");
        }

        /**
         * Guards against several rounds of moves when one holder carries all load: it is spread over all others at
         * once.
         */
        @Test
        void rebalance_allLoadOnOneHolder_movesKeysToAllOthers() {
            RangeTable three = RangePlanner.initial(SERVICE, List.of(A, B, C));
            for (int key = 0; key < 2_000; key++) {
                requests(key, 1);
            }
            Map<DaemonId, Double> loads = Map.of(A.daemon(), 9.0, B.daemon(), 0.0, C.daemon(), 0.0);
            List<RangeMove> moves =
                    RangePlanner.rebalance(three, A.daemon(), EQUAL_SLOTS, List.of(A, B, C), loads, load);
            assertEquals(
                    List.of(B.daemon(), C.daemon()),
                    moves.stream().map(RangeMove::daemon).toList());
            assertTrue(!moves.get(0).range().overlaps(moves.get(1).range()));
        }

        /** Guards against needless interruptions of service by moves while the holder has free slots. */
        @Test
        void rebalance_lowUtilization_movesNothing() {
            for (int key = 1_000; key < 1_060; key++) {
                requests(key, 1);
            }
            assertEquals(List.of(), rebalance(2.5, 0));
        }

        /** Guards against moves caused by random fluctuations of the load. */
        @Test
        void rebalance_nearlyEven_movesNothing() {
            requests(10, 20);
            assertEquals(List.of(), rebalance(4.1, 3.9));
        }

        /** Guards against moving a single hot key back and forth, which reduces no load. */
        @Test
        void rebalance_oneKeyCarriesAll_movesNothing() {
            requests(10, 200);
            assertEquals(List.of(), rebalance(10, 0));
        }

        /** Guards against underestimating a load that began more recently than the decay time constant. */
        @Test
        void busySlots_afterOneSecond_isNotUnderestimated() {
            for (int i = 0; i < 10; i++) {
                requests(10, 3);
                time.advance(Duration.ofMillis(100));
            }
            assertEquals(3.0, load.busySlots(KeyRange.ALL), 1.2);
        }

        @Test
        void decay_oldLoad_isNegligible() {
            requests(10, 100);
            time.advance(Duration.ofSeconds(20));
            load.decay();
            assertTrue(load.busySlots(KeyRange.ALL) < 0.1);
        }
    }
}
