package io.daisyhoist.daemon.connection;

import io.daisyhoist.wire.proto.Envelope;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;

/** Installs the channel handlers of the peer protocol. Stateless. */
final class PeerPipeline {
    private PeerPipeline() {}

    static void install(
            SocketChannel channel,
            PeerLimits limits,
            PeerByteCounter byteCounter,
            FrameBudget frames,
            ChannelHandler... handlers) {
        ChannelPipeline pipeline = channel.pipeline();
        pipeline.addLast(byteCounter);
        pipeline.addLast(new BoundedFrameDecoder(limits.maxFrameBytes(), frames));
        pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
        pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
        pipeline.addLast(new ProtobufEncoder());
        pipeline.addLast(handlers);
    }
}
