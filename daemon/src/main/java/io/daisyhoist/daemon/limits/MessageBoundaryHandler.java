package io.daisyhoist.daemon.limits;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Reports the begin and end of requests and responses on a connection; follows the HTTP decoder.
 *
 * <p>Invariant: a head that the decoder could not read is not passed on. Confined to the connection's event loop.
 */
final class MessageBoundaryHandler extends ChannelDuplexHandler {
    private final ClientConnectionHandler connection;

    MessageBoundaryHandler(ClientConnectionHandler connection) {
        this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest request) {
            if (request.decoderResult().isFailure()) {
                ReferenceCountUtil.release(message);
                connection.onInvalidHead(request.decoderResult().cause());
                return;
            }
            connection.onHead(request);
        }
        if (message instanceof LastHttpContent last && last.decoderResult().isSuccess()) {
            connection.onRequestEnd();
        }
        super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) throws Exception {
        int bytes = message instanceof HttpContent content ? content.content().readableBytes() : 0;
        if (bytes == 0 && !isEnd(message)) {
            super.write(context, message, promise);
            return;
        }
        boolean end = isEnd(message);
        connection.onResponseBytes(bytes);
        ChannelPromise watched = promise.unvoid();
        watched.addListener(written -> connection.onResponseWritten(bytes, end));
        super.write(context, message, watched);
    }

    /** An interim response, such as 100, does not end the response. */
    private static boolean isEnd(Object message) {
        boolean interim = message instanceof HttpResponse response
                && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        return message instanceof LastHttpContent && !interim;
    }
}
