package io.daisyhoist.core.keyrange;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class StartPlannerTest {
    private static final int KEYS = KeyRange.MAX_KEY + 1;
    private static final RangeOwner A = owner("a");
    private static final RangeOwner B = owner("b");
    private static final RangeOwner C = owner("c");

    private final KeyLoad load = new KeyLoad(new ManualTimeSource());
    private final RangeTable table = RangePlanner.initial(new ServiceName("s"), List.of(A, B));

    private static RangeOwner owner(String name) {
        return new RangeOwner(new DaemonId(name), new BackendProcessId(name, 1));
    }

    private int movedKeys(RangeOwner from, Map<DaemonId, Integer> slots) {
        List<RangeMove> moves = StartPlanner.plan(table, from.daemon(), List.of(A, B, C), slots, load);
        moves.forEach(move -> assertEquals(C.daemon(), move.daemon()));
        return moves.stream().mapToInt(move -> move.range().size()).sum();
    }

    /** Guards against a server that stays without keys, and against two holders that each give it a whole share. */
    @Test
    void plan_ownerWithoutKeys_getsItsShareFromAllHoldersTogether() {
        int moved = movedKeys(A, Map.of()) + movedKeys(B, Map.of());
        assertEquals(KEYS / 3.0, moved, 2);
    }

    @Test
    void plan_largeOwnerWithoutKeys_getsMore() {
        Map<DaemonId, Integer> slots = Map.of(A.daemon(), 4, B.daemon(), 4, C.daemon(), 8);
        assertEquals(KEYS / 2.0, movedKeys(A, slots) + movedKeys(B, slots), 2);
    }

    /** Guards against moves of keys that requests use. */
    @Test
    void plan_keysInUse_areNotMoved() {
        for (int key = 0; key < KEYS / 2; key += 100) {
            load.onRequest(key, Duration.ofMillis(100));
        }
        assertEquals(0, movedKeys(A, Map.of()));
    }

    /** Guards against key moves between backend servers that have about their shares. */
    @Test
    void plan_allOwnersHaveKeys_movesNothing() {
        RangeTable three = RangePlanner.initial(new ServiceName("s"), List.of(A, B, C));
        Map<DaemonId, Integer> slots = Map.of(A.daemon(), 6, B.daemon(), 9, C.daemon(), 8);
        List<RangeMove> moves = StartPlanner.plan(three, A.daemon(), List.of(A, B, C), slots, load);
        assertTrue(moves.isEmpty(), moves.toString());
    }
}
