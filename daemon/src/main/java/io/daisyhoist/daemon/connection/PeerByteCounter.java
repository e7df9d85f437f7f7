package io.daisyhoist.daemon.connection;

import java.util.concurrent.atomic.LongAdder;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the payload bytes of the connections on whose pipeline it is installed, without TCP and IP headers.
 * Thread-safe.
 */
@ChannelHandler.Sharable
public final class PeerByteCounter extends ChannelDuplexHandler {
    private final LongAdder receivedBytes = new LongAdder();
    private final LongAdder sentBytes = new LongAdder();

    /** Returns the total number of bytes received. */
    public long receivedBytes() {
        return receivedBytes.sum();
    }

    /** Returns the total number of bytes written to the network. */
    public long sentBytes() {
        return sentBytes.sum();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            receivedBytes.add(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sentBytes.add(bytes.readableBytes());
        }
        context.write(message, promise);
    }
}
