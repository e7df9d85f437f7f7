package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.retry.BackendLoss;
import io.daisyhoist.core.retry.Fingerprint;
import io.daisyhoist.daemon.connection.PeerHandler;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.daemon.limits.BodyBounds;
import io.daisyhoist.daemon.telemetry.Hop;
import io.daisyhoist.daemon.telemetry.HopSpan;
import io.daisyhoist.wire.proto.CrashReport;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Handles the traffic messages of other daemons.
 *
 * <p>Every forwarded request gets exactly one reply. Called from any thread; its state is confined to the traffic event
 * loop.
 */
final class TrafficMessageHandler implements PeerHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Requests that end in the meantime return their memory. */
    private static final Duration NO_MEMORY_RETRY_AFTER = Duration.ofMillis(300);

    private record RequestKey(ProcessId from, long requestId) {}

    private final TrafficContext traffic;
    private final OwnerService ownerService;
    private final BackendRunner runner;
    private final PartitionTransfer transfer;
    private final Map<RequestKey, Promise<Void>> cancelPromises = new HashMap<>();

    TrafficMessageHandler(
            TrafficContext traffic, OwnerService ownerService, BackendRunner runner, PartitionTransfer transfer) {
        this.traffic = traffic;
        this.ownerService = ownerService;
        this.runner = runner;
        this.transfer = transfer;
    }

    @Override
    public void handle(ProcessId from, Envelope message, PeerReply reply) {
        switch (message.getBodyCase()) {
            case FORWARD_REQUEST -> {
                Runnable frameMemory = reply.keepMemoryReserved();
                traffic.execute(() -> {
                    frameMemory.run();
                    onForwardRequest(from, message, reply);
                });
            }
            case CANCEL_REQUEST ->
                traffic.execute(() ->
                        cancel(new RequestKey(from, message.getCancelRequest().getCancelledRequestId())));
            case TRANSFER_ATTEMPTS -> transfer.receive(from, message.getTransferAttempts(), reply);
            case CRASH_REPORT -> runner.onReportedLoss(toBackendLoss(message.getCrashReport()));
            default ->
                LOGGER.atWarning().log("event=peer_message_unexpected from=%s body=%s", from, message.getBodyCase());
        }
    }

    private void onForwardRequest(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        ForwardRequest forwarded = message.getForwardRequest();
        HopSpan span = traffic.tracer()
                .start(Hop.PEER_RECEIVE, Optional.of(forwarded.getTraceparent()).filter(text -> !text.isEmpty()));
        RequestKey requestKey = new RequestKey(from, message.getRequestId());
        Optional<MemoryBudget.Reservation> memory = traffic.memory()
                .tryReserve(MemoryUse.PEER_MESSAGE, BodyBounds.reservedBytes(message.getSerializedSize()));
        if (memory.isEmpty()) {
            Refusal refusal = Refusal.of(
                    RefusalCode.OVERLOADED, "memory does not suffice for the request", NO_MEMORY_RETRY_AFTER);
            span.end(refusal.code().httpStatus());
            reply.accept(encode(OutboundResponse.refused(refusal)));
            return;
        }
        Promise<Void> cancelled = Promise.promise();
        cancelPromises.put(requestKey, cancelled);
        serve(forwarded, span, cancelled.future())
                .otherwise(failure -> Refusals.unknown(RefusalCode.BACKEND_LOST, "internal error: " + failure))
                .onSuccess(response -> {
                    cancelPromises.remove(requestKey);
                    memory.get().release();
                    span.end(response.status());
                    reply.accept(encode(response));
                });
    }

    private Envelope encode(OutboundResponse response) {
        return ForwardMessageCodec.encode(
                response,
                traffic.group().get().record().version(),
                traffic.self().daemon().name());
    }

    private Future<OutboundResponse> serve(ForwardRequest forwarded, HopSpan span, Future<Void> cancelled) {
        InboundRequest request;
        Optional<PartitionId> partition;
        try {
            request = ForwardMessageCodec.decode(forwarded, span.traceparent(), traffic.time());
            partition = ForwardMessageCodec.partition(forwarded);
        } catch (IllegalArgumentException e) {
            return Future.succeededFuture(Refusals.notRun(RefusalCode.BAD_REQUEST, e.getMessage()));
        }
        if (partition.isEmpty()) {
            return ownerService.serveKeyless(request, cancelled);
        }
        return forwarded.getTokenOnly()
                ? ownerService.issueToken(request, partition.get())
                : ownerService.serve(request, partition.get(), cancelled);
    }

    private void cancel(RequestKey requestKey) {
        Optional.ofNullable(cancelPromises.get(requestKey)).ifPresent(Promise::tryComplete);
    }

    private static BackendLoss toBackendLoss(CrashReport report) {
        return new BackendLoss(
                report.getBackend(),
                report.getBackendIncarnation(),
                report.getFingerprintsList().stream().map(Fingerprint::new).collect(Collectors.toSet()));
    }
}
