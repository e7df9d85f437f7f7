package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.keyrange.HoldRight;
import io.daisyhoist.core.keyrange.KeyHolds;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;

/**
 * Replies to heartbeats with the keys that the backend server is to hold.
 *
 * <p>A reply may wait for keys that are about to be assigned, since the next heartbeat comes much later. Invariants: each
 * heartbeat gets one reply, within {@link #MAX_DELAY}; at most one reply waits; what is granted follows from the table at
 * the time of the reply. Confined to the control thread.
 */
final class HoldReplies {
    /** Backend servers wait a second for a reply; the rest is for a daemon that runs slowly. */
    private static final Duration MAX_DELAY = Duration.ofMillis(700);

    private final TimeSource time;
    private final ControlExecutor control;
    private final KeyHolds holds;
    private final HoldRight right;
    private final Function<ServiceName, Optional<FleetState.StoredTable>> tables;
    private final RangeKeeper ranges;
    private final Runnable onReply;
    private Optional<WaitingReply> waiting = Optional.empty();
    private long holdsEndNanos;

    /** A heartbeat without a reply, and the table that was known when it came. */
    private record WaitingReply(
            BackendHeartbeat heartbeat,
            Optional<FleetState.StoredTable> known,
            CompletableFuture<Optional<KeyHolds.Reply>> reply) {}

    /**
     * Creates replies without grants.
     *
     * @param tables assigned keys of a service; empty for services without keys
     * @param onReply called after a reply that had waited
     */
    HoldReplies(
            TimeSource time,
            ControlExecutor control,
            KeyHolds holds,
            HoldRight right,
            Function<ServiceName, Optional<FleetState.StoredTable>> tables,
            RangeKeeper ranges,
            Runnable onReply) {
        this.time = time;
        this.control = control;
        this.holds = holds;
        this.right = right;
        this.tables = tables;
        this.ranges = ranges;
        this.onReply = onReply;
    }

    /** Returns the monotonic time at which the backend server stops holding what the last reply granted. */
    long holdsEndNanos() {
        return holdsEndNanos;
    }

    /** Replies to a heartbeat at once. */
    void replyNow(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyHolds.Reply>> reply) {
        reply.complete(holdsFor(heartbeat));
    }

    /** Replies to a heartbeat once its table has changed, or after the longest delay. */
    void replyLater(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyHolds.Reply>> reply) {
        WaitingReply next = new WaitingReply(heartbeat, tables.apply(heartbeat.service()), reply);
        waiting = Optional.of(next);
        control.scheduleOnce(
                () -> {
                    if (waiting.equals(Optional.of(next))) {
                        endWait();
                    }
                },
                MAX_DELAY);
    }

    /** Replies to the heartbeat that waits, if there is one. */
    void endWait() {
        waiting.ifPresent(next -> {
            waiting = Optional.empty();
            replyNow(next.heartbeat(), next.reply());
            onReply.run();
        });
    }

    /** Learns that the table or the right to grant keys may have changed. */
    void onChange() {
        boolean tableChanged = waiting.filter(next ->
                        !next.known().equals(tables.apply(next.heartbeat().service())))
                .isPresent();
        if (tableChanged && right.hold().isPresent()) {
            endWait();
        }
    }

    private Optional<KeyHolds.Reply> holdsFor(BackendHeartbeat heartbeat) {
        Optional<KeyHolds.Reply> reply = tables.apply(heartbeat.service())
                .filter(ranges::isOwnTime)
                .flatMap(stored -> holds.reply(heartbeat, stored.table()));
        reply.ifPresent(granted ->
                holdsEndNanos = time.monotonicNanos() + granted.hold().toNanos());
        return reply;
    }
}
