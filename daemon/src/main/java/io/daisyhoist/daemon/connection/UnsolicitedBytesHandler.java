package io.daisyhoist.daemon.connection;

import java.net.InetSocketAddress;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Closes a client connection when bytes arrive while no response is expected, as RFC 9112, section 9.2, asks for.
 *
 * <p>Invariant: such bytes never reach the HTTP decoder. Bytes that follow a response in the same read do, and are left to the
 * checks of the next response. Confined to the connection's event loop.
 */
final class UnsolicitedBytesHandler extends ChannelDuplexHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ConnectionWatch.Listener listener;

    /** Initially set, because the first request may be written before the handler is added. */
    private boolean responseExpected = true;

    private int responses;

    UnsolicitedBytesHandler(ConnectionWatch.Listener listener) {
        this.listener = listener;
    }

    int responses() {
        return responses;
    }

    void onResponseEnd() {
        responseExpected = false;
        responses++;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        responseExpected = true;
        super.write(context, message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!responseExpected && message instanceof ByteBuf bytes && bytes.isReadable()) {
            report(context, bytes);
            bytes.release();
            context.close();
            return;
        }
        super.channelRead(context, message);
    }

    private void report(ChannelHandlerContext context, ByteBuf bytes) {
        int localPort = ((InetSocketAddress) context.channel().localAddress()).getPort();
        LOGGER.atWarning().log(
                "event=unsolicited_bytes remote=%s local_port=%d responses=%d bytes=%d outcome=closed",
                context.channel().remoteAddress(), localPort, responses, bytes.readableBytes());
        listener.onUnsolicitedBytes(localPort, responses, bytes.readableBytes());
    }
}
