package io.daisyhoist.daemon.limits;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.client.ConnectionState;

/**
 * Counts refusals by client address and writes those that occurred most often.
 *
 * <p>Invariant: at most {@link #MAX_LINES} lines each time. Confined to one event loop.
 */
final class RefusalLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_LINES = 5;
    private static final int MAX_ENTRIES = 256;

    private final Map<Key, Tally> tallies = new HashMap<>();
    private int others;

    private record Key(String address, CloseReason reason) {}

    /** Counts of one address and reason. Confined to one event loop. */
    private static final class Tally {
        private int count;
        private long heldBytes;
    }

    void record(CloseReason reason, ConnectionState connection) {
        Key key = new Key(connection.address(), reason);
        if (tallies.size() >= MAX_ENTRIES && !tallies.containsKey(key)) {
            others++;
            return;
        }
        Tally tally = tallies.computeIfAbsent(key, added -> new Tally());
        tally.count++;
        tally.heldBytes += connection.heldBytes();
    }

    /** Writes and forgets what has been counted. */
    void write() {
        if (tallies.isEmpty()) {
            return;
        }
        tallies.entrySet().stream()
                .sorted(Comparator.comparingInt(entry -> -entry.getValue().count))
                .limit(MAX_LINES)
                .forEach(entry -> LOGGER.atWarning().log(
                        "event=clients_refused address=%s reason=%s count=%d held_bytes=%d addresses_and_reasons=%d uncounted=%d",
                        entry.getKey().address(),
                        entry.getKey().reason().label(),
                        entry.getValue().count,
                        entry.getValue().heldBytes,
                        tallies.size(),
                        others));
        tallies.clear();
        others = 0;
    }
}
