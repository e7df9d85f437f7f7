package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.error.RefusalCode;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the body of a request as it is, up to a limit.
 *
 * <p>Vert.x Web's body handler decodes form bodies, which must be passed on unchanged. Used on the request's event loop.
 */
final class BodyReader {
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private BodyReader() {}

    /** Returns the body; fails with a {@link RefusedException} when it is too large or takes too long. */
    static Future<Buffer> read(HttpServerRequest http, int maxBytes) {
        Promise<Buffer> complete = Promise.promise();
        String announced = http.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (announced != null && announced.matches("\\d+") && exceeds(announced, maxBytes)) {
            return Future.failedFuture(tooLarge(maxBytes));
        }
        Buffer body = Buffer.buffer();
        http.handler(chunk -> {
            if (body.length() + chunk.length() > maxBytes) {
                complete.tryFail(tooLarge(maxBytes));
                return;
            }
            body.appendBuffer(chunk);
        });
        http.exceptionHandler(complete::tryFail);
        http.endHandler(end -> complete.tryComplete(body));
        return withTimeout(complete);
    }

    private static Future<Buffer> withTimeout(Promise<Buffer> complete) {
        Context context = Vertx.currentContext();
        long timer = context.owner()
                .setTimer(
                        BODY_TIMEOUT.toMillis(),
                        fired -> complete.tryFail(
                                new RefusedException(RefusalCode.BAD_REQUEST, "body did not arrive in time")));
        return complete.future().onComplete(done -> context.owner().cancelTimer(timer));
    }

    private static boolean exceeds(String announced, int maxBytes) {
        return announced.length() > 9 || Long.parseLong(announced) > maxBytes;
    }

    private static RefusedException tooLarge(int maxBytes) {
        return new RefusedException(RefusalCode.TOO_LARGE, "body exceeds " + maxBytes + " bytes");
    }
}
