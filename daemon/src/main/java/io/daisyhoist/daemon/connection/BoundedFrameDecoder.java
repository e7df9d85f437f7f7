package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;

/**
 * Frame decoder that rejects an oversized frame by its length prefix, and reserves memory for a large one before it is buffered.
 *
 * <p>Netty's decoder buffers a frame of any declared length, so a single invalid prefix could occupy up to 2 GB, and many
 * connections together could exhaust the heap with legal frames. While memory does not suffice, the connection is not read.
 * A connection that stops in the middle of a large frame is closed, because others wait for the memory. Confined to one event
 * loop.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
    /** Smaller frames need no reservation; a connection holds no more than its largest small frame. */
    static final int MAX_SMALL_FRAME_BYTES = 64 << 10;

    private static final Runnable NOTHING_RESERVED = () -> {};
    private static final int MAX_PREFIX_BYTES = 5;
    private static final long RETRY_MILLIS = 10;

    /** Longer than a lost packet delays a connection. */
    private static final Duration STALL_TIMEOUT = Duration.ofSeconds(3);

    private final int maxFrameBytes;
    private final FrameBudget budget;
    private long reservedBytes;
    private long passedBytes;
    private int largeFrames;
    private boolean waiting;

    BoundedFrameDecoder(int maxFrameBytes, FrameBudget budget) {
        this.maxFrameBytes = maxFrameBytes;
        this.budget = budget;
    }

    /** Returns whether the connection must not be read, because memory for its next frame is missing. */
    boolean isWaiting() {
        return waiting;
    }

    /** Takes over the reservation of the frame that was decoded last; the caller runs the result once to release it. */
    Runnable takeReservation() {
        if (passedBytes == 0) {
            return NOTHING_RESERVED;
        }
        long bytes = passedBytes;
        passedBytes = 0;
        return () -> budget.release(bytes);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        long length = declaredLength(in);
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes exceeds " + maxFrameBytes);
        }
        if (length > MAX_SMALL_FRAME_BYTES && reservedBytes == 0 && !reserve(context, length)) {
            return;
        }
        int decodedFrames = out.size();
        super.decode(context, in, out);
        if (out.size() > decodedFrames) {
            budget.release(passedBytes);
            passedBytes = reservedBytes;
            reservedBytes = 0;
        }
    }

    private boolean reserve(ChannelHandlerContext context, long length) {
        if (budget.tryAcquire(length)) {
            reservedBytes = length;
            largeFrames++;
            scheduleStallCheck(context, largeFrames, -1);
            return true;
        }
        if (!waiting) {
            waiting = true;
            context.channel().config().setAutoRead(false);
            context.executor().schedule(() -> retry(context), RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
        return false;
    }

    /** Decodes what has arrived once more; an empty read makes the decoder look at the bytes that it has kept. */
    private void retry(ChannelHandlerContext context) {
        if (!context.channel().isActive()) {
            return;
        }
        waiting = false;
        context.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
        if (waiting) {
            return;
        }
        context.pipeline().fireChannelReadComplete();
        context.channel().config().setAutoRead(true);
        // A handler that does not read while it cannot write learns that it must decide again.
        context.fireChannelWritabilityChanged();
    }

    /** Without this, the decoder would ask for another read, because the bytes so far make no frame. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        if (waiting) {
            context.fireChannelReadComplete();
            return;
        }
        super.channelReadComplete(context);
    }

    private void scheduleStallCheck(ChannelHandlerContext context, int frame, int receivedBytes) {
        context.executor()
                .schedule(
                        () -> checkProgress(context, frame, receivedBytes),
                        STALL_TIMEOUT.toMillis(),
                        TimeUnit.MILLISECONDS);
    }

    private void checkProgress(ChannelHandlerContext context, int frame, int receivedBytesBefore) {
        if (reservedBytes == 0 || frame != largeFrames || !context.channel().isActive()) {
            return;
        }
        int receivedBytes = actualReadableBytes();
        if (receivedBytes == receivedBytesBefore) {
            context.fireExceptionCaught(new PeerProtocolException("stopped in the middle of a frame"));
            return;
        }
        scheduleStallCheck(context, frame, receivedBytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        super.channelInactive(context);
        budget.release(reservedBytes + passedBytes);
        reservedBytes = 0;
        passedBytes = 0;
    }

    private static long declaredLength(ByteBuf in) {
        long length = 0;
        int available = Math.min(MAX_PREFIX_BYTES, in.readableBytes());
        for (int i = 0; i < available; i++) {
            byte octet = in.getByte(in.readerIndex() + i);
            length |= (long) (octet & 0x7f) << (7 * i);
            if (octet >= 0) {
                break;
            }
        }
        return length;
    }
}
