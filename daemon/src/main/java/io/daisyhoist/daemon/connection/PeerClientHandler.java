package io.daisyhoist.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.wire.proto.CancelRequest;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Calling side of one TCP connection.
 *
 * <p>Invariants: a reply is given only to the pending call with its id; replies to finished calls are dropped; when the
 * connection ends, every pending call fails as possibly sent. Owned by the connection's event loop.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<Envelope> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_UNANSWERED_PROBES = 2;

    /** Receives the changes of the connection, on its event loop. */
    interface Listener {
        /** The peer's hello was accepted. */
        void ready(PeerClientHandler source);

        /** The connection ended, or never came about. */
        void lost(PeerClientHandler source, String reason);

        /** Returns whether nothing was sent for the idle time. */
        boolean isUnused();
    }

    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final Listener listener;
    private final Map<Long, PeerCall> pending = new HashMap<>();
    private Optional<ChannelHandlerContext> context = Optional.empty();
    private Optional<String> closeReason = Optional.empty();
    private boolean greeted;
    private int unansweredProbes;

    PeerClientHandler(PeerIdentity identity, PeerLimits limits, Listener listener) {
        this.identity = identity;
        this.limits = limits;
        this.listener = listener;
    }

    void write(PeerCall call) {
        ChannelHandlerContext open =
                context.filter(known -> known.channel().isActive()).orElse(null);
        if (open == null) {
            call.fail(PeerException.Reason.CONNECTION_LOST, Certainty.NOT_SENT, "connection is closing");
            return;
        }
        if (!open.channel().isWritable()) {
            call.fail(PeerException.Reason.CONGESTED, Certainty.NOT_SENT, "write buffer is full");
            return;
        }
        call.markSent();
        if (call.expectsReply()) {
            track(open, call);
        }
        open.writeAndFlush(call.message(), open.voidPromise());
        if (!call.expectsReply()) {
            call.result().complete(Envelope.getDefaultInstance());
        }
    }

    private void track(ChannelHandlerContext open, PeerCall call) {
        pending.put(call.requestId(), call);
        ScheduledFuture<?> timeout = open.executor()
                .schedule(
                        () -> call.fail(PeerException.Reason.TIMEOUT, "no reply"),
                        call.timeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        call.result().whenComplete((reply, failure) -> {
            timeout.cancel(false);
            if (failure != null) {
                open.executor().execute(() -> abandon(call));
            }
        });
    }

    /** Stops waiting for a call that timed out or was cancelled, and tells the peer to stop working on it. */
    private void abandon(PeerCall call) {
        boolean wasPending = pending.remove(call.requestId()) != null;
        if (!wasPending || !call.message().hasForwardRequest()) {
            return;
        }
        Envelope cancel = Envelope.newBuilder()
                .setCancelRequest(CancelRequest.newBuilder().setCancelledRequestId(call.requestId()))
                .build();
        context.filter(open -> open.channel().isActive())
                .ifPresent(open -> open.writeAndFlush(cancel, open.voidPromise()));
    }

    @Override
    public void channelActive(ChannelHandlerContext active) throws Exception {
        context = Optional.of(active);
        active.writeAndFlush(identity.hello(), active.voidPromise());
        active.executor()
                .schedule(
                        () -> {
                            if (!greeted) {
                                close("no hello from the peer");
                            }
                        },
                        limits.connectTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
        super.channelActive(active);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext open, Envelope message) {
        unansweredProbes = 0;
        if (message.hasHello() || !greeted) {
            identity.requireCompatible(message);
            if (!greeted) {
                greeted = true;
                listener.ready(this);
            }
            return;
        }
        PeerCall call = pending.remove(message.getRequestId());
        if (call == null) {
            LOGGER.atFine().log("event=peer_late_reply_dropped request_id=%d", message.getRequestId());
            return;
        }
        call.result().complete(message);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext open, Object event) throws Exception {
        if (!(event instanceof IdleStateEvent)) {
            super.userEventTriggered(open, event);
            return;
        }
        if (!greeted) {
            return;
        }
        if (pending.isEmpty()) {
            unansweredProbes = 0;
            if (listener.isUnused()) {
                close("idle");
            }
            return;
        }
        probe(open);
    }

    /**
     * Detects a peer or path that has gone without closing the connection; TCP alone would keep it for minutes, and after
     * a partition its retransmission timer would delay heartbeats.
     */
    private void probe(ChannelHandlerContext open) {
        if (unansweredProbes >= MAX_UNANSWERED_PROBES) {
            close("peer is silent");
            return;
        }
        unansweredProbes++;
        open.writeAndFlush(identity.hello(), open.voidPromise());
    }

    void close(String reason) {
        if (closeReason.isEmpty()) {
            closeReason = Optional.of(reason);
        }
        context.ifPresent(ChannelHandlerContext::close);
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) throws Exception {
        String reason = closeReason.orElse("closed by the peer");
        List<PeerCall> calls = List.copyOf(pending.values());
        pending.clear();
        listener.lost(this, reason);
        calls.forEach(call -> call.fail(PeerException.Reason.CONNECTION_LOST, reason));
        super.channelInactive(closed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext open, Throwable cause) {
        close(cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }
}
