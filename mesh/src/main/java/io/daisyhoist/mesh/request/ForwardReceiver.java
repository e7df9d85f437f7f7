package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.retry.LossReport;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.CrashReportCodec;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import io.vertx.core.Context;
import io.vertx.core.Promise;

/**
 * Handles messages of other daemons.
 *
 * <p>Invariants: no request starts after the connection that carried it has closed, and a running idempotent request is
 * cancelled then, because its response cannot be delivered. May be called from any event loop; requests run on the traffic
 * event loop.
 */
public final class ForwardReceiver implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_CANCELLED_BEFORE_START = 10_000;

    private final Context context;
    private final BackendAdmission admission;
    private final CrashGuard crashGuard;
    private final TimeSource time;
    private final PeerMessageListener messageListener;
    private final Predicate<BackendRequestData> idempotent;
    private final Map<CallId, RunningForward> running = new HashMap<>();

    /** Calls that were cancelled before they were started, which happens when messages are delayed and arrive together. */
    private final Set<CallId> cancelledBeforeStart = ConcurrentHashMap.newKeySet();

    private record CallId(ProcessId from, long number) {}

    private record RunningForward(BackendRequestData request, PeerReply reply, Promise<Void> cancelled) {}

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
     */
    public ForwardReceiver(
            Context context,
            BackendAdmission admission,
            CrashGuard crashGuard,
            TimeSource time,
            PeerMessageListener messageListener,
            Predicate<BackendRequestData> idempotent) {
        this.context = context;
        this.admission = admission;
        this.crashGuard = crashGuard;
        this.time = time;
        this.messageListener = messageListener;
        this.idempotent = idempotent;
    }

    @Override
    public void handle(ProcessId from, Envelope message, PeerReply reply) {
        switch (message.getBodyCase()) {
            case FORWARD_REQUEST -> context.runOnContext(run -> forward(from, message, reply));
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
        Optional<BackendRequestData> decoded = decode(from, message.getForwardRequest());
        if (decoded.isEmpty()) {
            reply.accept(ForwardCodec.encode(
                    new BackendOutcome.NotRun(BackendOutcome.NotRunReason.INVALID, false, Duration.ZERO),
                    admission.load()));
            return;
        }
        BackendRequestData request = decoded.get();
        Promise<Void> cancelled = Promise.promise();
        running.put(id, new RunningForward(request, reply, cancelled));
        Duration queueWait = Duration.ofMillis(message.getForwardRequest().getQueueWaitMs());
        admission.run(request, queueWait, cancelled.future()).onComplete(done -> {
            running.remove(id);
            BackendOutcome outcome = done.succeeded()
                    ? done.result()
                    : new BackendOutcome.Unknown(BackendOutcome.UnknownReason.CONNECTION_LOST);
            if (done.failed()) {
                LOGGER.atSevere().withCause(done.cause()).log("event=forward_failed request=%s", request.id());
            }
            reply.accept(ForwardCodec.encode(outcome, admission.load()));
        });
    }

    private Optional<BackendRequestData> decode(ProcessId from, ForwardRequest message) {
        try {
            return Optional.of(ForwardCodec.decode(message, time));
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

    /** A non-idempotent request continues, because an interrupted one may have taken effect in part. */
    private void cancelUndeliverable() {
        List<RunningForward> undeliverable = running.values().stream()
                .filter(forward -> !forward.reply().isDeliverable())
                .filter(forward -> idempotent.test(forward.request()))
                .toList();
        undeliverable.forEach(forward -> {
            LOGGER.atInfo().log(
                    "event=forward_cancelled request=%s reason=connection_closed",
                    forward.request().id());
            forward.cancelled().tryComplete();
        });
    }
}
