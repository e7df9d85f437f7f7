package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.PartitionId;
import io.daisyhoist.daemon.connection.Certainty;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerException;
import io.daisyhoist.daemon.telemetry.Hop;
import io.daisyhoist.daemon.telemetry.HopSpan;
import io.daisyhoist.wire.proto.Envelope;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/** Forwards requests to other daemons. Confined to the traffic event loop. */
final class OwnerClient {
    /** The owner answers at the deadline; its answer needs time for the way back. */
    private static final Duration ANSWER_MARGIN = Duration.ofMillis(50);

    /** Learns that a peer knows a later group record. */
    interface VersionListener {
        void onVersion(Member peer, long version);
    }

    private final TrafficContext traffic;
    private final PeerClient peers;
    private final VersionListener versions;

    OwnerClient(TrafficContext traffic, PeerClient peers, VersionListener versions) {
        this.traffic = traffic;
        this.peers = peers;
        this.versions = versions;
    }

    Future<OutboundResponse> forward(
            Member owner,
            InboundRequest request,
            Optional<PartitionId> partition,
            boolean tokenOnly,
            Future<Void> cancelled) {
        HopSpan span = traffic.tracer().start(Hop.PEER_FORWARD, request.traceparent());
        Envelope message = ForwardMessages.write(request, partition, tokenOnly, span.traceparent(), traffic.time());
        Duration timeout = request.deadline().remaining(traffic.time()).plus(ANSWER_MARGIN);
        CompletableFuture<Envelope> call = peers.call(owner.peer(), PeerChannel.TRAFFIC, message, timeout);
        cancelled.onSuccess(gone -> call.cancel(true));
        Promise<OutboundResponse> answer = Promise.promise();
        call.whenComplete((reply, failure) -> traffic.execute(() -> {
            OutboundResponse response = failure == null ? read(owner, reply) : refusal(failure);
            span.attribute("peer", owner.session().daemon().name()).end(response.status());
            answer.complete(response);
        }));
        return answer.future();
    }

    private OutboundResponse read(Member owner, Envelope reply) {
        if (!reply.hasForwardResponse()) {
            return Refusals.unknown(RefusalCode.OWNER_UNREACHABLE, "the owner's answer is not understood");
        }
        versions.onVersion(owner, reply.getForwardResponse().getGroupVersion());
        return ForwardMessages.read(reply.getForwardResponse());
    }

    private static OutboundResponse refusal(Throwable failure) {
        if (!(failure instanceof PeerException known)) {
            return Refusals.unknown(RefusalCode.OWNER_UNREACHABLE, "cancelled while the owner worked on it");
        }
        if (known.certainty() == Certainty.NOT_SENT) {
            return Refusals.notRun(RefusalCode.OWNER_UNREACHABLE, known.getMessage());
        }
        return Refusals.unknown(
                known.reason() == PeerException.Reason.TIMEOUT
                        ? RefusalCode.DEADLINE_EXCEEDED
                        : RefusalCode.OWNER_UNREACHABLE,
                known.getMessage());
    }
}
