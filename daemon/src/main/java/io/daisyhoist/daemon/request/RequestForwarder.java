package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.daemon.connection.DeliveryCertainty;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerException;
import io.daisyhoist.daemon.connection.SilencePolicy;
import io.daisyhoist.daemon.telemetry.Hop;
import io.daisyhoist.daemon.telemetry.HopSpan;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Forwards requests to other daemons. Confined to the traffic event loop. */
final class RequestForwarder {
    /** The owner responds by the deadline; the margin covers the time that its response takes to arrive. */
    private static final Duration RESPONSE_MARGIN = Duration.ofMillis(50);

    /** Notified of the version of the group record that a peer has. */
    interface VersionListener {
        void onVersion(Member peer, long version);
    }

    private final TrafficContext traffic;
    private final PeerClient peers;
    private final VersionListener versionListener;

    RequestForwarder(TrafficContext traffic, PeerClient peers, VersionListener versionListener) {
        this.traffic = traffic;
        this.peers = peers;
        this.versionListener = versionListener;
    }

    Future<OutboundResponse> forward(
            Member target,
            InboundRequest request,
            Optional<PartitionId> partition,
            boolean tokenOnly,
            Future<Void> cancelled) {
        HopSpan span = traffic.tracer().start(Hop.PEER_FORWARD, request.traceparent());
        Envelope message =
                ForwardMessageCodec.encode(request, partition, tokenOnly, span.traceparent(), traffic.time());
        Duration timeout = request.deadline().remaining(traffic.time()).plus(RESPONSE_MARGIN);
        SilencePolicy silencePolicy = request.attemptToken().isPresent() ? SilencePolicy.WAIT : SilencePolicy.FAIL;
        CompletableFuture<Envelope> call =
                peers.call(target.peer(), PeerChannel.TRAFFIC, message, timeout, silencePolicy);
        cancelled.onSuccess(ignored -> call.cancel(true));
        Promise<OutboundResponse> result = Promise.promise();
        call.whenComplete((reply, failure) -> traffic.execute(() -> {
            OutboundResponse response = failure == null ? toResponse(target, reply) : toRefusal(failure);
            span.attribute("peer", target.session().daemon().name()).end(response.status());
            result.complete(response);
        }));
        return result.future();
    }

    private OutboundResponse toResponse(Member target, Envelope reply) {
        if (!reply.hasForwardResponse()) {
            return Refusals.unknown(RefusalCode.OWNER_UNREACHABLE, "the owner's answer is not understood");
        }
        versionListener.onVersion(target, reply.getForwardResponse().getGroupVersion());
        return ForwardMessageCodec.decode(reply.getForwardResponse());
    }

    private static OutboundResponse toRefusal(Throwable failure) {
        if (!(failure instanceof PeerException peerFailure)) {
            return Refusals.unknown(RefusalCode.OWNER_UNREACHABLE, "cancelled while the owner worked on it");
        }
        if (peerFailure.certainty() == DeliveryCertainty.NOT_SENT) {
            return Refusals.notRun(RefusalCode.OWNER_UNREACHABLE, peerFailure.getMessage());
        }
        return Refusals.unknown(
                peerFailure.reason() == PeerException.Reason.TIMEOUT
                        ? RefusalCode.DEADLINE_EXCEEDED
                        : RefusalCode.OWNER_UNREACHABLE,
                peerFailure.getMessage());
    }
}
