package io.daisyhoist.daemon.connection;

import java.net.InetSocketAddress;
import java.nio.channels.ClosedChannelException;

import com.google.common.flogger.FluentLogger;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Closes a client connection when bytes arrive while no response is expected, as RFC 9112, section 9.2, asks for.
 *
 * <p>Invariants: such bytes never reach the HTTP decoder; what was read together with the end of a response is no part of a
 * response to a request that was written later; a connection that was not closed by its peer does not end a response. The next
 * handler must be the decoder.
 *
 * <p>While one read is decoded, the end of a response is reported first; then the client may write its next request; then the
 * decoder may find another message, or keep the rest of the bytes. Whether it keeps them shows in their reference count: a decoder
 * releases bytes that it has consumed, and merges bytes that it has kept with those of the next read. Confined to the connection's
 * event loop.
 */
final class UnsolicitedBytesHandler extends ChannelDuplexHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Number of bytes that were read together with the end of a response. */
    private static final int NOT_COUNTED = 0;

    private final Channel channel;
    private final WatchedHttpClients.Listener listener;

    /** Initially set, because the first request may be written before the handler is added. */
    private boolean responseExpected = true;

    private boolean responseInProgress;

    /** Whether a response has ended with the bytes that are being decoded. */
    private boolean endedInThisRead;

    /** Whether the decoder has kept bytes of an earlier read, and may have merged others with them since. */
    private boolean decoderMayHoldBytes;

    /** Whether the connection is closed by this side, or because a write failed, and not by its peer. */
    private boolean failed;

    private boolean unsolicitedBytesSeen;
    private int responses;

    UnsolicitedBytesHandler(Channel channel, WatchedHttpClients.Listener listener) {
        this.channel = channel;
        this.listener = listener;
    }

    int responses() {
        return responses;
    }

    boolean hasSeenUnsolicitedBytes() {
        return unsolicitedBytesSeen;
    }

    void onResponseBegin() {
        responseInProgress = true;
    }

    void onResponseEnd() {
        responseExpected = false;
        responseInProgress = false;
        endedInThisRead = true;
        responses++;
    }

    /** Returns whether a message that is decoded now belongs to no request. */
    boolean isUnsolicited() {
        return endedInThisRead;
    }

    void closeAfterUnsolicitedMessage() {
        if (channel.isOpen()) {
            reportAndClose(NOT_COUNTED);
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        responseExpected = true;
        ChannelPromise watched = promise.unvoid();
        watched.addListener(written -> failed |= !written.isSuccess());
        super.write(context, message, watched);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) throws Exception {
        failed = true;
        super.close(context, promise);
    }

    /**
     * Reports a failure before the decoder sees the end of the connection, which it would take for the end of a response
     * without a length.
     */
    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        if (failed && responseInProgress) {
            context.fireExceptionCaught(new ClosedChannelException());
        }
        super.channelInactive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!responseExpected && message instanceof ByteBuf bytes && bytes.isReadable()) {
            reportAndClose(bytes.readableBytes());
            bytes.release();
            return;
        }
        if (message instanceof ByteBuf bytes) {
            decode(context, bytes);
            return;
        }
        super.channelRead(context, message);
    }

    private void decode(ChannelHandlerContext context, ByteBuf bytes) throws Exception {
        endedInThisRead = false;
        bytes.retain();
        boolean kept;
        try {
            super.channelRead(context, bytes);
            kept = bytes.refCnt() > 1;
        } finally {
            bytes.release();
        }
        if (endedInThisRead && channel.isOpen()) {
            afterResponse(kept);
        } else {
            decoderMayHoldBytes |= kept;
        }
        endedInThisRead = false;
    }

    private void afterResponse(boolean kept) {
        if (kept) {
            reportAndClose(NOT_COUNTED);
        } else if (decoderMayHoldBytes && !responseExpected) {
            // Of merged bytes, it cannot be told whether the decoder has consumed all of them.
            LOGGER.atFine().log("event=connection_retired remote=%s", channel.remoteAddress());
            listener.onRetired();
            channel.close();
        }
    }

    private void reportAndClose(int bytes) {
        int localPort = ((InetSocketAddress) channel.localAddress()).getPort();
        LOGGER.atWarning().log(
                "event=unsolicited_bytes remote=%s local_port=%d responses=%d bytes=%d outcome=closed",
                channel.remoteAddress(), localPort, responses, bytes);
        unsolicitedBytesSeen = true;
        listener.onUnsolicitedBytes(localPort, responses, bytes);
        channel.close();
    }
}
