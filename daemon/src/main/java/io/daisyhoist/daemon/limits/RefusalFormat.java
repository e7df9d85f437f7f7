package io.daisyhoist.daemon.limits;

import java.nio.charset.StandardCharsets;

import io.daisyhoist.core.client.CloseReason;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Writes the responses to requests that are refused before their head is complete. Implementations are stateless. */
@FunctionalInterface
public interface RefusalFormat {
    /** Responses that consist of a status and header fields. */
    RefusalFormat WITHOUT_BODY = reason -> Unpooled.copiedBuffer(
            "HTTP/1.1 " + reason.status() + " Refused\r\nConnection: close\r\nContent-Length: 0\r\n"
                    + (reason == CloseReason.MEMORY ? "Retry-After: 1\r\n" : "") + "\r\n",
            StandardCharsets.US_ASCII);

    /** Returns a whole response that announces the end of the connection. */
    ByteBuf encode(CloseReason reason);
}
