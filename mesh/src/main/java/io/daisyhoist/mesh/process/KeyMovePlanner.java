package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.keyrange.KeyLoad;
import io.daisyhoist.core.keyrange.RangeMove;
import io.daisyhoist.core.keyrange.RangeOwner;
import io.daisyhoist.core.keyrange.RangePlanner;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.keyrange.StartPlanner;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;

/**
 * Plans the moves of keys of the local backend server to others: by load, and shortly after the start of this daemon also of
 * unused keys to backend servers that registered after the initial table. Confined to the control thread.
 */
final class KeyMovePlanner {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Moves of unused keys end then, because each key that changes hands may cost its new holder work. */
    private static final Duration START_PHASE = Duration.ofSeconds(15);

    private final DaemonId self;
    private final TimeSource time;
    private final KeyLoad keyLoad;
    private final ElapsedTimer started;

    KeyMovePlanner(DaemonId self, TimeSource time, KeyLoad keyLoad) {
        this.self = self;
        this.time = time;
        this.keyLoad = keyLoad;
        this.started = ElapsedTimer.start(time);
    }

    /**
     * Plans moves.
     *
     * @param slots number of requests that each owner runs concurrently
     * @param busySlots slots of each owner that its keys keep busy, as far as known
     */
    List<RangeMove> plan(
            RangeTable table, List<RangeOwner> owners, Map<DaemonId, Integer> slots, Map<DaemonId, Double> busySlots) {
        List<RangeMove> moves = RangePlanner.rebalance(table, self, slots, owners, busySlots, keyLoad);
        String cause = "load";
        if (moves.isEmpty() && started.elapsed(time).compareTo(START_PHASE) < 0) {
            moves = StartPlanner.plan(table, self, owners, slots, keyLoad);
            cause = "start";
        }
        for (RangeMove move : moves) {
            LOGGER.atInfo().log(
                    "event=range_move_planned service=%s cause=%s range=%s to=%s loads=%s",
                    table.service(), cause, move.range(), move.daemon(), busySlots);
        }
        return moves;
    }
}
