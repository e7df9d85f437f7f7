package io.daisyhoist.daemon.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.daemon.connection.DaisyhoistHeaders;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/** Refusals of requests that stay outside the limits. Stateless. */
final class EdgeRefusals {
    /** Requests that end in the meantime return their memory. */
    private static final Duration NO_MEMORY_RETRY_AFTER = Duration.ofSeconds(1);

    private EdgeRefusals() {}

    /** Returns the refusal for a reason; the request has not run. */
    static Refusal of(CloseReason reason) {
        return switch (reason) {
            case HEAD_TOO_LARGE -> refusal(RefusalCode.TOO_LARGE, "request head is too large");
            case BODY_TOO_LARGE -> refusal(RefusalCode.TOO_LARGE, "request body is too large");
            case HEAD_TIMEOUT -> refusal(RefusalCode.BAD_REQUEST, "request head did not arrive in time");
            case BODY_TIMEOUT -> refusal(RefusalCode.BAD_REQUEST, "request body did not arrive in time");
            case MEMORY ->
                Refusal.of(RefusalCode.OVERLOADED, "memory does not suffice for the request", NO_MEMORY_RETRY_AFTER);
            default -> refusal(RefusalCode.BAD_REQUEST, "request cannot be decoded");
        };
    }

    private static Refusal refusal(RefusalCode code, String message) {
        return Refusal.of(code, message, Duration.ZERO);
    }

    /** Returns the response to a request whose head was not passed on. */
    static ByteBuf encode(CloseReason reason) {
        OutboundResponse response = OutboundResponse.refused(of(reason));
        Refusal refusal = response.refusal().orElseThrow();
        StringBuilder head = new StringBuilder("HTTP/1.1 " + response.status() + " Refused\r\nConnection: close\r\n");
        response.headers().forEach(field -> appendField(head, field.name(), field.value()));
        appendField(head, DaisyhoistHeaders.RUN, refusal.runState().label());
        appendField(head, DaisyhoistHeaders.REFUSAL, refusal.code().label());
        if (!refusal.retryAfter().isZero()) {
            appendField(head, "Retry-After", Long.toString(refusal.retryAfter().toSeconds()));
        }
        appendField(head, "Content-Length", Integer.toString(response.body().length()));
        return Unpooled.wrappedBuffer(
                head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII),
                response.body().getBytes());
    }

    private static void appendField(StringBuilder head, String name, String value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }
}
