package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.DeliveryCertainty;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerException;
import io.daisyhoist.daemon.connection.SilencePolicy;
import io.daisyhoist.mesh.body.PeerBodySender;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;

/**
 * Forwards a request to the daemon of a backend server, or to the local admission control.
 *
 * <p>Invariants: a request is sent at most once; a failure is reported as not run only if no byte of it was sent, or nothing of
 * the rest of its streamed body; a request
 * that may not be repeated is not given up because its daemon does not respond for a while. Confined to the traffic event
 * loop.
 */
public final class Forwarder implements BackendSender {
    /** Time after the deadline of a request in which the reply of a peer is still accepted. */
    private static final Duration REPLY_MARGIN = Duration.ofMillis(50);

    private static final Duration RETRY_AFTER_UNREACHABLE = Duration.ofMillis(300);

    /** A member entry that names an ended backend server is replaced within about 1 s, or never. */
    private static final Duration STALE_MEMBER_AVOIDANCE = Duration.ofMillis(700);

    private final Context context;
    private final DaemonId self;
    private final BackendAdmission admission;
    private final PeerClient peerClient;
    private final LoadBalancer loadBalancer;
    private final TimeSource time;
    private final Predicate<BackendRequestData> idempotent;

    /**
     * Creates a forwarder.
     *
     * @param idempotent whether a request may be repeated, according to its route
     */
    public Forwarder(
            Context context,
            DaemonId self,
            BackendAdmission admission,
            PeerClient peerClient,
            LoadBalancer loadBalancer,
            TimeSource time,
            Predicate<BackendRequestData> idempotent) {
        this.context = context;
        this.self = self;
        this.admission = admission;
        this.peerClient = peerClient;
        this.loadBalancer = loadBalancer;
        this.time = time;
        this.idempotent = idempotent;
    }

    @Override
    public Future<BackendOutcome> send(
            FleetMember member, BackendRequestData request, Duration queueWait, Future<Void> cancelled) {
        loadBalancer.onSend(member.daemon());
        Future<BackendOutcome> outcome = member.daemon().equals(self)
                ? admission
                        .run(request, queueWait, cancelled)
                        .onSuccess(done -> loadBalancer.onReport(self, admission.load()))
                : sendToPeer(member, request, queueWait, cancelled);
        return outcome.onComplete(done -> loadBalancer.onCompletion(member.daemon()));
    }

    private Future<BackendOutcome> sendToPeer(
            FleetMember member, BackendRequestData request, Duration queueWait, Future<Void> cancelled) {
        Optional<PeerBodySender> bodySender =
                request.body().rest().map(rest -> new PeerBodySender(context, request.body(), rest));
        Promise<BackendOutcome> outcome = Promise.promise();
        CompletableFuture<Envelope> call = call(member, request, queueWait, bodySender);
        cancelled.onComplete(done -> call.cancel(false));
        call.whenComplete((reply, failure) -> context.runOnContext(run -> {
            bodySender.ifPresent(PeerBodySender::stop);
            outcome.complete(
                    bodySender.filter(sender -> !sender.isStarted()).isPresent()
                            ? unlessRun(result(member, reply, failure))
                            : result(member, reply, failure));
        }));
        return outcome.future();
    }

    private CompletableFuture<Envelope> call(
            FleetMember member, BackendRequestData request, Duration queueWait, Optional<PeerBodySender> bodySender) {
        Envelope message = ForwardCodec.encode(request, queueWait, time);
        Duration timeout = request.deadline().remaining(time).plus(REPLY_MARGIN);
        SilencePolicy silencePolicy = idempotent.test(request) ? SilencePolicy.FAIL : SilencePolicy.WAIT;
        return bodySender
                .map(sender ->
                        peerClient.upload(member.peerAddress(), message, timeout, silencePolicy, sender::onCredit))
                .orElseGet(() ->
                        peerClient.call(member.peerAddress(), PeerChannel.TRAFFIC, message, timeout, silencePolicy));
    }

    /** The peer writes nothing to its backend server before it has received a chunk of a streamed body. */
    private static BackendOutcome unlessRun(BackendOutcome outcome) {
        return outcome instanceof Unknown unknown && unknown.reason() == UnknownReason.PEER_LOST
                ? new NotRun(NotRunReason.PEER_UNREACHABLE, false, RETRY_AFTER_UNREACHABLE)
                : outcome;
    }

    private BackendOutcome result(FleetMember member, Envelope reply, Throwable failure) {
        if (failure == null) {
            ForwardResponse response = reply.getForwardResponse();
            ForwardCodec.load(response).ifPresent(load -> loadBalancer.onReport(member.daemon(), load));
            BackendOutcome outcome = ForwardCodec.decode(response);
            if (outcome instanceof NotRun notRun && isStaleMember(notRun.reason())) {
                loadBalancer.avoid(member.daemon(), STALE_MEMBER_AVOIDANCE);
            } else {
                loadBalancer.onReachable(member.daemon());
            }
            return outcome;
        }
        if (failure instanceof PeerException peerException) {
            if (peerException.reason() != PeerException.Reason.TIMEOUT) {
                loadBalancer.onUnreachable(member.daemon());
            }
            return peerException.certainty() == DeliveryCertainty.NOT_SENT
                    ? new NotRun(NotRunReason.PEER_UNREACHABLE, false, RETRY_AFTER_UNREACHABLE)
                    : new Unknown(UnknownReason.PEER_LOST);
        }
        return new Unknown(UnknownReason.CANCELLED);
    }

    private static boolean isStaleMember(NotRunReason reason) {
        return reason == NotRunReason.WRONG_BACKEND
                || reason == NotRunReason.LEAVING
                || reason == NotRunReason.ZONE_EVACUATED;
    }
}
