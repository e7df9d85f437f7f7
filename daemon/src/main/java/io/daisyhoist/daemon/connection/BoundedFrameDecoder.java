package io.daisyhoist.daemon.connection;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;

/**
 * Frame decoder that rejects an oversized frame by its length prefix, before it is buffered.
 *
 * <p>Netty's decoder buffers a frame of any declared length, so a single invalid prefix could occupy up to 2 GB.
 * Confined to one event loop.
 */
final class BoundedFrameDecoder extends ProtobufVarint32FrameDecoder {
    private static final int MAX_PREFIX_BYTES = 5;

    private final int maxFrameBytes;

    BoundedFrameDecoder(int maxFrameBytes) {
        this.maxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        long length = declaredLength(in);
        if (length > maxFrameBytes) {
            throw new TooLongFrameException("frame of " + length + " bytes exceeds " + maxFrameBytes);
        }
        super.decode(context, in, out);
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
