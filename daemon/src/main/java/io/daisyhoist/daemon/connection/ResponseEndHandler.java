package io.daisyhoist.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Reports the beginning and the end of each response on a connection to the handler of its bytes, and drops messages that it
 * calls unsolicited. Confined to the connection's event loop.
 */
final class ResponseEndHandler extends ChannelInboundHandlerAdapter {
    private final UnsolicitedBytesHandler bytesHandler;
    private boolean informational;

    ResponseEndHandler(UnsolicitedBytesHandler bytesHandler) {
        this.bytesHandler = bytesHandler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (bytesHandler.isUnsolicited()) {
            bytesHandler.closeAfterUnsolicitedMessage();
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            bytesHandler.onResponseBegin();
        }
        // Before the message is passed on, because the next request may be written while it is handled.
        if (message instanceof LastHttpContent && !informational) {
            bytesHandler.onResponseEnd();
        }
        super.channelRead(context, message);
    }
}
