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
 * Reads the unmodified body of a request, up to a limit.
 *
 * <p>Vert.x Web's body handler is not used because it decodes form bodies, which must be forwarded unchanged. Used on
 * the request's event loop.
 */
final class BodyReader {
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private BodyReader() {}

    /** Returns the body; fails with a {@link RefusedException} if it is too large or arrives too slowly. */
    static Future<Buffer> read(HttpServerRequest http, int maxBytes) {
        Promise<Buffer> bodyPromise = Promise.promise();
        String contentLength = http.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (contentLength != null && contentLength.matches("\\d+") && exceeds(contentLength, maxBytes)) {
            return Future.failedFuture(tooLarge(maxBytes));
        }
        Buffer body = Buffer.buffer();
        http.handler(chunk -> {
            if (body.length() + chunk.length() > maxBytes) {
                bodyPromise.tryFail(tooLarge(maxBytes));
                return;
            }
            body.appendBuffer(chunk);
        });
        http.exceptionHandler(bodyPromise::tryFail);
        http.endHandler(end -> bodyPromise.tryComplete(body));
        return withTimeout(bodyPromise);
    }

    private static Future<Buffer> withTimeout(Promise<Buffer> bodyPromise) {
        Context context = Vertx.currentContext();
        long timer = context.owner()
                .setTimer(
                        BODY_TIMEOUT.toMillis(),
                        ignored -> bodyPromise.tryFail(
                                new RefusedException(RefusalCode.BAD_REQUEST, "body did not arrive in time")));
        return bodyPromise.future().onComplete(done -> context.owner().cancelTimer(timer));
    }

    private static boolean exceeds(String contentLength, int maxBytes) {
        return contentLength.length() > 9 || Long.parseLong(contentLength) > maxBytes;
    }

    private static RefusedException tooLarge(int maxBytes) {
        return new RefusedException(RefusalCode.TOO_LARGE, "body exceeds " + maxBytes + " bytes");
    }
}
