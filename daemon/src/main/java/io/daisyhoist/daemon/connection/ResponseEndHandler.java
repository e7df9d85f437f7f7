package io.daisyhoist.daemon.connection;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;

/** Reports the end of each final response on a connection. Confined to the connection's event loop. */
final class ResponseEndHandler extends ChannelInboundHandlerAdapter {
    private final Runnable onResponseEnd;
    private boolean informational;

    ResponseEndHandler(Runnable onResponseEnd) {
        this.onResponseEnd = onResponseEnd;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpResponse response) {
            informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        // Before the message is passed on, because the next request may be written while it is handled.
        if (message instanceof LastHttpContent && !informational) {
            onResponseEnd.run();
        }
        super.channelRead(context, message);
    }
}
