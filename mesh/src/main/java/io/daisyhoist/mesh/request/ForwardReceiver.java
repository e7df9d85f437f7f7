package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.retry.LossReport;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.daemon.limits.BodyBounds;
import io.daisyhoist.mesh.body.BodyLimits;
import io.daisyhoist.mesh.body.ReceivedBodyRest;
import io.daisyhoist.mesh.body.RequestBody;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.CrashReportCodec;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.wire.proto.BodyChunk;
import io.daisyhoist.wire.proto.BodyCredit;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;

/**
 * Handles messages of other daemons.
 *
 * <p>Invariants: no request starts after the connection that carried it has closed, and a running idempotent request is
 * cancelled then, because its response cannot be delivered; the rest of a body is asked for only by the write of its request. May be called from any event loop; requests run on the traffic
 * event loop.
 */
public final class ForwardReceiver implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration NO_MEMORY_RETRY_AFTER = Duration.ofMillis(300);
    private static final int MAX_CANCELLED_BEFORE_START = 10_000;

    private final Context context;
    private final BackendAdmission admission;
    private final CrashGuard crashGuard;
    private final TimeSource time;
    private final PeerMessageListener messageListener;
    private final Predicate<BackendRequestData> idempotent;
    private final MemoryBudget memory;
    private final Map<CallId, RunningForward> running = new HashMap<>();

    /** Calls that were cancelled before they were started, which happens when messages are delayed and arrive together. */
    private final Set<CallId> cancelledBeforeStart = ConcurrentHashMap.newKeySet();

    private record CallId(ProcessId from, long number) {}

    private record RunningForward(
            BackendRequestData request, PeerReply reply, Promise<Void> cancelled, Optional<ReceivedBodyRest> rest) {
        /** Returns whether the request can no longer be completed when its connection is lost. */
        private boolean lacksBody() {
            return rest.filter(received -> !received.isComplete()).isPresent();
        }
    }

    /** Handles control messages of other daemons. Implementations are thread-safe. */
    public interface PeerMessageListener {
        /** Called with the load report of a daemon. */
        void onLoad(FleetLoad load);

        /** Called with operator items that a daemon has read from the store. */
        void onOperatorItems(OperatorItems items);

        /** Called with changes of the store that a daemon passes on. */
        void onStoreChanges(StoreChanges changes);

        /** Called when a daemon asks whether its configuration is the newest one; the reply is a {@code FleetLoad}. */
        default void onConfigQuestion(ConfigFetch question, PeerReply reply) {
            // Without a reply, the question fails after its timeout.
        }
    }

    /**
     * Creates a receiver.
     *
     * @param idempotent whether a request may be interrupted and repeated, according to its route
     * @param memory memory for requests
     */
    public ForwardReceiver(
            Context context,
            BackendAdmission admission,
            CrashGuard crashGuard,
            TimeSource time,
            PeerMessageListener messageListener,
            Predicate<BackendRequestData> idempotent,
            MemoryBudget memory) {
        this.context = context;
        this.admission = admission;
        this.crashGuard = crashGuard;
        this.time = time;
        this.messageListener = messageListener;
        this.idempotent = idempotent;
        this.memory = memory;
    }

    @Override
    public void handle(ProcessId from, Envelope message, PeerReply reply) {
        switch (message.getBodyCase()) {
            case FORWARD_REQUEST -> {
                Runnable frameMemory = reply.keepMemoryReserved();
                context.runOnContext(run -> {
                    frameMemory.run();
                    forward(from, message, reply);
                });
            }
            case BODY_CHUNK ->
                context.runOnContext(
                        run -> onBodyChunk(new CallId(from, message.getRequestId()), message.getBodyChunk()));
            case CANCEL_REQUEST ->
                onCancel(new CallId(from, message.getCancelRequest().getCancelledRequestId()));
            case FLEET_LOAD -> messageListener.onLoad(message.getFleetLoad());
            case STORE_CHANGES -> messageListener.onStoreChanges(message.getStoreChanges());
            case CRASH_REPORT -> {
                LossReport report = CrashReportCodec.decode(message.getCrashReport());
                context.runOnContext(run -> crashGuard.onReport(report));
            }
            case CONFIG_FETCH -> messageListener.onConfigQuestion(message.getConfigFetch(), reply);
            case OPERATOR_ITEMS -> messageListener.onOperatorItems(message.getOperatorItems());
            default ->
                LOGGER.atWarning().log("event=peer_message_ignored peer=%s body=%s", from, message.getBodyCase());
        }
    }

    private void forward(ProcessId from, Envelope message, PeerReply reply) {
        CallId id = new CallId(from, message.getRequestId());
        if (cancelledBeforeStart.remove(id)) {
            logDropped(message.getForwardRequest().getRequestId(), "cancelled_before_start");
            return;
        }
        if (!reply.isDeliverable()) {
            logDropped(message.getForwardRequest().getRequestId(), "connection_closed");
            return;
        }
        Optional<ReceivedBodyRest> rest = message.getForwardRequest().getBodyFollows()
                ? Optional.of(new ReceivedBodyRest(bytes -> grantCredit(reply, bytes)))
                : Optional.empty();
        Optional<BackendRequestData> decoded = decode(from, message.getForwardRequest(), rest);
        if (decoded.isEmpty()) {
            refuse(reply, BackendOutcome.NotRunReason.INVALID, Duration.ZERO);
            return;
        }
        BackendRequestData request = decoded.get();
        Optional<MemoryBudget.Reservation> reservation = memory.tryReserve(
                MemoryUse.PEER_MESSAGE,
                rest.isPresent()
                        ? BodyLimits.streamedBytes(request.body().first().length())
                        : BodyBounds.reservedBytes(message.getSerializedSize()));
        if (reservation.isEmpty()) {
            logDropped(request.id(), "no_memory");
            refuse(reply, BackendOutcome.NotRunReason.OVERLOADED, NO_MEMORY_RETRY_AFTER);
            return;
        }
        Promise<Void> cancelled = Promise.promise();
        running.put(id, new RunningForward(request, reply, cancelled, rest));
        Duration queueWait = Duration.ofMillis(message.getForwardRequest().getQueueWaitMs());
        admission.run(request, queueWait, cancelled.future()).onComplete(done -> {
            running.remove(id);
            rest.ifPresent(received -> received.fail("request has ended"));
            reservation.get().release();
            BackendOutcome outcome = done.succeeded()
                    ? done.result()
                    : new BackendOutcome.Unknown(BackendOutcome.UnknownReason.CONNECTION_LOST);
            if (done.failed()) {
                LOGGER.atSevere().withCause(done.cause()).log("event=forward_failed request=%s", request.id());
            }
            reply.accept(ForwardCodec.encode(outcome, admission.load()));
        });
    }

    private void refuse(PeerReply reply, BackendOutcome.NotRunReason reason, Duration retryAfter) {
        reply.accept(ForwardCodec.encode(new BackendOutcome.NotRun(reason, false, retryAfter), admission.load()));
    }

    private static void grantCredit(PeerReply reply, int bytes) {
        reply.sendBeforeReply(Envelope.newBuilder()
                .setBodyCredit(BodyCredit.newBuilder().setBytes(bytes))
                .build());
    }

    /** A chunk of a request that has ended is ignored, since its sender may not have received the reply yet. */
    private void onBodyChunk(CallId id, BodyChunk chunk) {
        RunningForward forward = running.get(id);
        if (forward == null || forward.rest().isEmpty()) {
            return;
        }
        boolean accepted = !chunk.getAborted()
                && forward.rest().get().onChunk(Buffer.buffer(chunk.getData().toByteArray()), chunk.getLast());
        if (!accepted) {
            LOGGER.atInfo().log(
                    "event=forward_cancelled request=%s reason=%s",
                    forward.request().id(), chunk.getAborted() ? "body_aborted" : "credit_exceeded");
            forward.cancelled().tryComplete();
        }
    }

    private Optional<BackendRequestData> decode(
            ProcessId from, ForwardRequest message, Optional<ReceivedBodyRest> rest) {
        try {
            BackendRequestData request = ForwardCodec.decode(message, time);
            OptionalLong length = ForwardCodec.bodyLength(message);
            return Optional.of(rest.map(received ->
                            request.withBody(RequestBody.streamed(request.body().first(), length, received)))
                    .orElse(request));
        } catch (IllegalArgumentException e) {
            LOGGER.atWarning().log(
                    "event=forward_invalid peer=%s request=%s reason=\"%s\"",
                    from, message.getRequestId(), e.getMessage());
            return Optional.empty();
        }
    }

    private static void logDropped(String requestId, String reason) {
        LOGGER.atInfo().log("event=forward_dropped request=%s reason=%s", requestId, reason);
    }

    private void onCancel(CallId id) {
        if (cancelledBeforeStart.size() < MAX_CANCELLED_BEFORE_START) {
            cancelledBeforeStart.add(id);
        }
        context.runOnContext(run -> cancel(id));
    }

    private void cancel(CallId id) {
        cancelledBeforeStart.remove(id);
        RunningForward forward = running.get(id);
        if (forward != null) {
            forward.cancelled().tryComplete();
        }
    }

    @Override
    public void onDisconnected(ProcessId from) {
        context.runOnContext(run -> cancelUndeliverable());
    }

    /**
     * A non-idempotent request continues, because an interrupted one may have taken effect in part, unless the rest of its body
     * cannot arrive any more.
     */
    private void cancelUndeliverable() {
        List<RunningForward> undeliverable = running.values().stream()
                .filter(forward -> !forward.reply().isDeliverable())
                .filter(forward -> forward.lacksBody() || idempotent.test(forward.request()))
                .toList();
        undeliverable.forEach(forward -> {
            LOGGER.atInfo().log(
                    "event=forward_cancelled request=%s reason=connection_closed",
                    forward.request().id());
            forward.cancelled().tryComplete();
        });
    }
}
