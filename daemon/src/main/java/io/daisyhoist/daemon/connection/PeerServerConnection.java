package io.daisyhoist.daemon.connection;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.timeout.IdleStateEvent;

/**
 * Receiving side of one connection from a daemon.
 *
 * <p>A repeated {@code Hello} is a liveness probe and is answered. Owned by the connection's event loop; replies may come
 * from any thread.
 */
final class PeerServerConnection extends SimpleChannelInboundHandler<Envelope> {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final PeerHandler handler;
    private Optional<ProcessId> peer = Optional.empty();

    PeerServerConnection(PeerIdentity identity, PeerLimits limits, PeerHandler handler) {
        this.identity = identity;
        this.limits = limits;
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope message) {
        // A frame that was decoded together with a refused one must not be acted on.
        if (!context.channel().isActive()) {
            return;
        }
        if (message.hasHello() || peer.isEmpty()) {
            greet(context, message);
            return;
        }
        if (message.getBodyCase() == Envelope.BodyCase.BODY_NOT_SET) {
            throw new PeerProtocolException("message without a body");
        }
        dispatch(peer.get(), message, replyTo(context.channel(), message.getRequestId()));
    }

    private void dispatch(ProcessId from, Envelope message, Consumer<Envelope> reply) {
        try {
            handler.handle(from, message, reply);
        } catch (RuntimeException e) {
            // A fault in one handler must not fail the other calls on the connection.
            LOGGER.atSevere().withCause(e).log(
                    "event=peer_handler_failed peer=%s body=%s", from, message.getBodyCase());
        }
    }

    private void greet(ChannelHandlerContext context, Envelope message) {
        ProcessId stated = identity.requireCompatible(message);
        if (peer.isPresent() && !peer.get().equals(stated)) {
            throw new PeerProtocolException("hello of another process on the same connection");
        }
        peer = Optional.of(stated);
        context.writeAndFlush(identity.hello());
    }

    private Consumer<Envelope> replyTo(Channel channel, long requestId) {
        AtomicBoolean replied = new AtomicBoolean();
        return reply -> {
            if (requestId == 0 || !replied.compareAndSet(false, true)) {
                return;
            }
            Envelope numbered = reply.toBuilder().setRequestId(requestId).build();
            if (numbered.getSerializedSize() > limits.maxFrameBytes()) {
                LOGGER.atWarning().log(
                        "event=peer_reply_dropped reason=too_large bytes=%d body=%s",
                        numbered.getSerializedSize(), numbered.getBodyCase());
                return;
            }
            channel.writeAndFlush(numbered, channel.voidPromise());
        };
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) throws Exception {
        context.channel().config().setAutoRead(context.channel().isWritable());
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
