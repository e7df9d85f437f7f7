package io.daisyhoist.daemon.connection;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.BodyChunk;
import io.daisyhoist.wire.proto.CancelRequest;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Client side of one TCP connection.
 *
 * <p>Invariants: all replies come from the process whose hello was accepted first; a reply completes only the pending call
 * with its id; replies to finished calls are dropped; when the connection is lost, every pending call fails as one that may
 * have been sent; while the peer does not respond, no further call is accepted, and only calls that may not be repeated wait
 * for their replies. Confined to the connection's event loop.
 */
final class PeerClientHandler extends SimpleChannelInboundHandler<Envelope> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_UNANSWERED_PROBES = 2;
    private static final String SILENT = "peer is silent";

    /** Notified of state changes of the connection, on its event loop. */
    interface Listener {
        /** The peer's hello was accepted. */
        void onReady(PeerClientHandler source);

        /** The peer stopped responding; the connection accepts no further calls. */
        void onSilent(PeerClientHandler source);

        /** The connection was lost or could not be established. */
        void onLost(PeerClientHandler source, String reason);

        /** Returns whether no call was made during the idle timeout. */
        boolean isIdle();
    }

    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final Listener listener;
    private final Map<Long, PeerCall> pending = new HashMap<>();
    private Optional<ChannelHandlerContext> context = Optional.empty();
    private Optional<String> closeReason = Optional.empty();
    private Optional<ProcessId> peer = Optional.empty();
    private int unansweredProbes;
    private boolean silent;

    PeerClientHandler(PeerIdentity identity, PeerLimits limits, Listener listener) {
        this.identity = identity;
        this.limits = limits;
        this.listener = listener;
    }

    void write(PeerCall call) {
        ChannelHandlerContext channelContext =
                context.filter(current -> current.channel().isActive()).orElse(null);
        if (channelContext == null) {
            call.fail(PeerException.Reason.CONNECTION_LOST, DeliveryCertainty.NOT_SENT, "connection is closing");
            return;
        }
        if (!channelContext.channel().isWritable()) {
            call.fail(PeerException.Reason.CONGESTED, DeliveryCertainty.NOT_SENT, "write buffer is full");
            return;
        }
        call.markSent();
        if (call.expectsReply()) {
            registerPending(channelContext, call);
        }
        channelContext.writeAndFlush(call.message(), channelContext.voidPromise());
        if (!call.expectsReply()) {
            call.result().complete(Envelope.getDefaultInstance());
        }
    }

    private void registerPending(ChannelHandlerContext channelContext, PeerCall call) {
        pending.put(call.requestId(), call);
        ScheduledFuture<?> timeout = channelContext
                .executor()
                .schedule(
                        () -> call.fail(PeerException.Reason.TIMEOUT, "no reply"),
                        call.timeout().toNanos(),
                        TimeUnit.NANOSECONDS);
        call.result().whenComplete((reply, failure) -> {
            timeout.cancel(false);
            if (failure != null) {
                channelContext.executor().execute(() -> cancelPending(call));
            }
        });
    }

    /** Removes a call that timed out or was cancelled, and sends a cancel request to the peer. */
    private void cancelPending(PeerCall call) {
        boolean wasPending = pending.remove(call.requestId()) != null;
        if (wasPending && call.message().hasForwardRequest()) {
            sendCancel(call);
        }
        closeIfSilentAndUnused();
    }

    private void sendCancel(PeerCall call) {
        Envelope cancel = Envelope.newBuilder()
                .setCancelRequest(CancelRequest.newBuilder().setCancelledRequestId(call.requestId()))
                .build();
        context.filter(channelContext -> channelContext.channel().isActive())
                .ifPresent(channelContext -> channelContext.writeAndFlush(cancel, channelContext.voidPromise()));
    }

    @Override
    public void channelActive(ChannelHandlerContext active) throws Exception {
        context = Optional.of(active);
        active.writeAndFlush(identity.hello(), active.voidPromise());
        active.executor()
                .schedule(
                        () -> {
                            if (peer.isEmpty()) {
                                close("no hello from the peer");
                            }
                        },
                        limits.connectTimeout().toMillis(),
                        TimeUnit.MILLISECONDS);
        super.channelActive(active);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext channelContext, Envelope message) {
        channelContext
                .pipeline()
                .get(BoundedFrameDecoder.class)
                .takeReservation()
                .run();
        // Frames that were decoded together with a rejected one must not be processed.
        if (!channelContext.channel().isActive()) {
            return;
        }
        unansweredProbes = 0;
        if (message.hasHello() || peer.isEmpty()) {
            handleHello(message);
            return;
        }
        if (message.hasBodyCredit()) {
            onBodyCredit(message);
            return;
        }
        PeerCall call = pending.remove(message.getRequestId());
        if (call == null) {
            LOGGER.atFine().log("event=peer_late_reply_dropped request_id=%d", message.getRequestId());
            return;
        }
        call.result().complete(message);
        closeIfSilentAndUnused();
    }

    /** Credit refers to a call but does not end it. */
    private void onBodyCredit(Envelope message) {
        Optional.ofNullable(pending.get(message.getRequestId()))
                .ifPresent(call -> call.creditListener()
                        .ifPresent(receiver -> receiver.onCredit(
                                Integer.toUnsignedLong(message.getBodyCredit().getBytes()),
                                chunk -> writeChunk(call, chunk))));
    }

    private CompletionStage<Void> writeChunk(PeerCall call, BodyChunk chunk) {
        CompletableFuture<Void> written = new CompletableFuture<>();
        context.orElseThrow().executor().execute(() -> {
            ChannelHandlerContext channelContext = context.orElseThrow();
            if (pending.get(call.requestId()) != call) {
                written.completeExceptionally(new PeerException(
                        PeerException.Reason.CLOSED, DeliveryCertainty.NOT_SENT, "the call has ended"));
                return;
            }
            Envelope message = Envelope.newBuilder()
                    .setRequestId(call.requestId())
                    .setBodyChunk(chunk)
                    .build();
            channelContext.writeAndFlush(message).addListener(done -> {
                if (done.isSuccess()) {
                    written.complete(null);
                } else {
                    written.completeExceptionally(done.cause());
                }
            });
        });
        return written;
    }

    private void handleHello(Envelope message) {
        ProcessId sender = identity.requireCompatible(message);
        if (peer.isEmpty()) {
            peer = Optional.of(sender);
            listener.onReady(this);
            return;
        }
        if (!peer.get().equals(sender)) {
            throw new PeerProtocolException("hello of another process on the same connection");
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext channelContext, Object event) throws Exception {
        if (!(event instanceof IdleStateEvent)) {
            super.userEventTriggered(channelContext, event);
            return;
        }
        if (peer.isEmpty() || silent) {
            return;
        }
        if (pending.isEmpty()) {
            unansweredProbes = 0;
            if (listener.isIdle()) {
                close("idle");
            }
            return;
        }
        probe(channelContext);
    }

    /**
     * Detects a lost peer or network path whose connection was not closed. TCP alone would keep the connection for
     * minutes, and after a partition its retransmission timer would delay heartbeats.
     */
    private void probe(ChannelHandlerContext channelContext) {
        if (unansweredProbes >= MAX_UNANSWERED_PROBES) {
            onSilence();
            return;
        }
        unansweredProbes++;
        channelContext.writeAndFlush(identity.hello(), channelContext.voidPromise());
    }

    /**
     * Leaves the connection to the calls that may not be repeated: a peer that was only paused still replies to them, and
     * closing the connection would give up requests that run.
     */
    private void onSilence() {
        silent = true;
        listener.onSilent(this);
        List.copyOf(pending.values()).stream()
                .filter(call -> call.silencePolicy() == SilencePolicy.FAIL)
                .forEach(call -> call.fail(PeerException.Reason.CONNECTION_LOST, SILENT));
        closeIfSilentAndUnused();
    }

    private void closeIfSilentAndUnused() {
        if (silent && pending.isEmpty()) {
            close(SILENT);
        }
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
        listener.onLost(this, reason);
        calls.forEach(call -> call.fail(PeerException.Reason.CONNECTION_LOST, reason));
        super.channelInactive(closed);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext channelContext, Throwable cause) {
        close(cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }
}
