package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.mesh.connection.BackendAnswer;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.vertx.core.Context;
import io.vertx.core.Promise;

/**
 * Takes the messages of other daemons.
 *
 * <p>May be called from any event loop; all state is confined to the traffic event loop.
 */
public final class ForwardReceiver implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_EARLY_CANCELS = 10_000;

    private final Context context;
    private final BackendGate gate;
    private final TimeSource time;
    private final PeerNews peerNews;
    private final Map<CallId, Promise<Void>> running = new HashMap<>();

    /** Calls whose cancellation was read before they were started, as happens after a delay on the way. */
    private final Set<CallId> cancelledEarly = ConcurrentHashMap.newKeySet();

    private record CallId(ProcessId from, long number) {}

    /** Hears of what other daemons tell besides requests. Implementations are thread-safe. */
    public interface PeerNews {
        /** A daemon has told its load and what it knows. */
        void onLoad(FleetLoad load);

        /** A daemon has sent what operators have written. */
        void onOperatorItems(OperatorItems items);
    }

    /** Creates a receiver. */
    public ForwardReceiver(Context context, BackendGate gate, TimeSource time, PeerNews peerNews) {
        this.context = context;
        this.gate = gate;
        this.time = time;
        this.peerNews = peerNews;
    }

    @Override
    public void handle(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        switch (message.getBodyCase()) {
            case FORWARD_REQUEST -> context.runOnContext(run -> forward(from, message, reply));
            case CANCEL_REQUEST ->
                onCancel(new CallId(from, message.getCancelRequest().getCancelledRequestId()));
            case FLEET_LOAD -> peerNews.onLoad(message.getFleetLoad());
            case OPERATOR_ITEMS -> peerNews.onOperatorItems(message.getOperatorItems());
            default ->
                LOGGER.atWarning().log("event=peer_message_ignored peer=%s body=%s", from, message.getBodyCase());
        }
    }

    private void forward(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        CallId id = new CallId(from, message.getRequestId());
        if (cancelledEarly.remove(id)) {
            LOGGER.atInfo().log(
                    "event=forward_dropped request=%s reason=cancelled_before_start",
                    message.getForwardRequest().getRequestId());
            return;
        }
        BackendRequestData request = ForwardCodec.decode(message.getForwardRequest(), time);
        Promise<Void> cancelled = Promise.promise();
        running.put(id, cancelled);
        Duration queueWait = Duration.ofMillis(message.getForwardRequest().getQueueWaitMs());
        gate.run(request, queueWait, cancelled.future()).onComplete(done -> {
            running.remove(id);
            BackendAnswer answer = done.succeeded()
                    ? done.result()
                    : new BackendAnswer.Unknown(BackendAnswer.UnknownReason.CONNECTION_LOST);
            if (done.failed()) {
                LOGGER.atSevere().withCause(done.cause()).log("event=forward_failed request=%s", request.id());
            }
            reply.accept(ForwardCodec.encode(answer, gate.load()));
        });
    }

    private void onCancel(CallId id) {
        if (cancelledEarly.size() < MAX_EARLY_CANCELS) {
            cancelledEarly.add(id);
        }
        context.runOnContext(run -> cancel(id));
    }

    private void cancel(CallId id) {
        cancelledEarly.remove(id);
        Promise<Void> cancelled = running.get(id);
        if (cancelled != null) {
            cancelled.tryComplete();
        }
    }
}
