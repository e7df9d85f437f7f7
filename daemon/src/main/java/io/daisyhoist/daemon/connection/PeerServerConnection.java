package io.daisyhoist.daemon.connection;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Server side of one connection from another daemon.
 *
 * <p>A repeated {@code Hello} is a liveness probe and gets a reply. Confined to the connection's event loop; replies
 * may be sent from any thread.
 */
final class PeerServerConnection extends SimpleChannelInboundHandler<Envelope> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final PeerHandler handler;
    private final Runnable onIdentified;
    private Optional<ProcessId> peer = Optional.empty();

    PeerServerConnection(PeerIdentity identity, PeerLimits limits, PeerHandler handler, Runnable onIdentified) {
        this.identity = identity;
        this.limits = limits;
        this.handler = handler;
        this.onIdentified = onIdentified;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        // Frames that were decoded together with a rejected one must not be processed.
        if (!context.channel().isActive()) {
            return;
        }
        MessageMemory memory = new MessageMemory(
                context.pipeline().get(BoundedFrameDecoder.class).takeReservation());
        try {
            if (message.hasHello() || peer.isEmpty()) {
                handleHello(context, message);
                return;
            }
            if (message.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
                throw new PeerProtocolException("message without a body");
            }
            dispatch(peer.get(), message, replyTo(context.channel(), message.getRequestId(), memory));
        } finally {
            memory.releaseUnlessKept();
        }
    }

    /** Reservation of a message while it is handled. Confined to the connection's event loop. */
    private static final class MessageMemory {
        private final Runnable release;
        private boolean kept;

        private MessageMemory(Runnable release) {
            this.release = release;
        }

        private Runnable keep() {
            kept = true;
            return release;
        }

        private void releaseUnlessKept() {
            if (!kept) {
                release.run();
            }
        }
    }

    private void dispatch(ProcessId from, Envelope message, PeerReply reply) {
        try {
            handler.handle(from, message, reply);
        } catch (RuntimeException e) {
            // An error in the handler of one message must not fail the other calls on the connection.
            LOGGER.atSevere().withCause(e).log(
                    "event=peer_handler_failed peer=%s body=%s", from, message.getBodyCase());
        }
    }

    private void handleHello(ChannelHandlerContext context, Envelope message) {
        ProcessId sender = identity.requireCompatible(message);
        if (peer.isPresent() && !peer.get().equals(sender)) {
            throw new PeerProtocolException("hello of another process on the same connection");
        }
        peer = Optional.of(sender);
        onIdentified.run();
        context.writeAndFlush(identity.hello());
    }

    private PeerReply replyTo(Channel channel, long requestId, MessageMemory memory) {
        AtomicBoolean replied = new AtomicBoolean();
        return new PeerReply() {
            @Override
            public void accept(Envelope reply) {
                if (requestId != 0 && replied.compareAndSet(false, true)) {
                    write(channel, reply.toBuilder().setRequestId(requestId).build());
                }
            }

            @Override
            public void sendBeforeReply(Envelope message) {
                if (requestId != 0 && !replied.get()) {
                    write(channel, message.toBuilder().setRequestId(requestId).build());
                }
            }

            @Override
            public Runnable keepMemoryReserved() {
                return memory.keep();
            }

            @Override
            public boolean isDeliverable() {
                return channel.isActive();
            }
        };
    }

    private void write(Channel channel, Envelope reply) {
        if (reply.getSerializedSize() > limits.maxFrameBytes()) {
            LOGGER.atWarning().log(
                    "event=peer_reply_dropped reason=too_large bytes=%d body=%s",
                    reply.getSerializedSize(), reply.getBodyCase());
            return;
        }
        channel.writeAndFlush(reply, channel.voidPromise());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        peer.ifPresent(handler::onDisconnected);
        super.channelInactive(context);
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        boolean missesMemory = context.pipeline().get(BoundedFrameDecoder.class).isWaiting();
        context.channel().config().setAutoRead(context.channel().isWritable() && !missesMemory);
        super.channelWritabilityChanged(context);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        if (event instanceof IdleStateEvent) {
            close(context, "idle");
            return;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        close(context, cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }

    private void close(ChannelHandlerContext context, String reason) {
        if (context.channel().isOpen()) {
            LOGGER.atInfo().log(
                    "event=peer_connection_closed side=server remote=%s peer=%s reason=\"%s\"",
                    context.channel().remoteAddress(),
                    peer.map(ProcessId::toString).orElse("unknown"),
                    reason);
        }
        context.close();
    }
}
