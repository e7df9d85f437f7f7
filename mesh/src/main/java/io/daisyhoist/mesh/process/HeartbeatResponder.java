package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.keyrange.RegistrationLease;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;

/**
 * Replies to heartbeats with the keys that the backend server has to hold.
 *
 * <p>A reply may be deferred until announced keys are assigned, because the next heartbeat would grant them much later.
 * Invariants: each heartbeat gets one reply, within {@link #MAX_DELAY}; at most one reply is deferred; grants follow from
 * the table at the time of the reply. Confined to the control thread.
 */
final class HeartbeatResponder {
    /** Backend servers wait 1 s for a reply; the difference is a margin for a slow daemon. */
    private static final Duration MAX_DELAY = Duration.ofMillis(700);

    private final TimeSource time;
    private final ControlExecutor control;
    private final KeyLeases keyLeases;
    private final RegistrationLease registrationLease;
    private final Function<ServiceName, Optional<FleetState.StoredTable>> tables;
    private final RangeAssigner rangeAssigner;
    private final Runnable onReply;
    private Optional<DeferredReply> deferred = Optional.empty();
    private long keyLeaseEndNanos;

    /** A heartbeat without a reply yet, and the table known at its arrival. */
    private record DeferredReply(
            BackendHeartbeat heartbeat,
            Optional<FleetState.StoredTable> knownTable,
            CompletableFuture<Optional<KeyLeases.Reply>> reply) {}

    /**
     * Creates a responder without a deferred reply.
     *
     * @param tables assignment table of a service; empty for services without keys
     * @param onReply called after a deferred reply
     */
    HeartbeatResponder(
            TimeSource time,
            ControlExecutor control,
            KeyLeases keyLeases,
            RegistrationLease registrationLease,
            Function<ServiceName, Optional<FleetState.StoredTable>> tables,
            RangeAssigner rangeAssigner,
            Runnable onReply) {
        this.time = time;
        this.control = control;
        this.keyLeases = keyLeases;
        this.registrationLease = registrationLease;
        this.tables = tables;
        this.rangeAssigner = rangeAssigner;
        this.onReply = onReply;
    }

    /** Returns the monotonic time at which the key leases of the last reply expire. */
    long keyLeaseEndNanos() {
        return keyLeaseEndNanos;
    }

    /** Replies to a heartbeat immediately. */
    void replyNow(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyLeases.Reply>> reply) {
        reply.complete(createReply(heartbeat));
    }

    /** Replies to a heartbeat when its table has changed, at the latest after {@link #MAX_DELAY}. */
    void deferReply(BackendHeartbeat heartbeat, CompletableFuture<Optional<KeyLeases.Reply>> reply) {
        DeferredReply pending = new DeferredReply(heartbeat, tables.apply(heartbeat.service()), reply);
        deferred = Optional.of(pending);
        control.scheduleOnce(
                () -> {
                    if (deferred.equals(Optional.of(pending))) {
                        sendDeferredReply();
                    }
                },
                MAX_DELAY);
    }

    /** Sends the deferred reply, if there is one. */
    void sendDeferredReply() {
        deferred.ifPresent(pending -> {
            deferred = Optional.empty();
            replyNow(pending.heartbeat(), pending.reply());
            onReply.run();
        });
    }

    /** Handles a possible change of the table or of the registration lease. */
    void onChange() {
        boolean tableChanged = deferred.filter(pending -> !pending.knownTable()
                        .equals(tables.apply(pending.heartbeat().service())))
                .isPresent();
        if (tableChanged && registrationLease.grantableLease().isPresent()) {
            sendDeferredReply();
        }
    }

    private Optional<KeyLeases.Reply> createReply(BackendHeartbeat heartbeat) {
        Optional<KeyLeases.Reply> reply = tables.apply(heartbeat.service())
                .filter(rangeAssigner::isPredecessorFenced)
                .flatMap(stored -> keyLeases.reply(heartbeat, stored.table()));
        reply.ifPresent(createdReply -> keyLeaseEndNanos =
                time.monotonicNanos() + createdReply.leaseDuration().toNanos());
        return reply;
    }
}
