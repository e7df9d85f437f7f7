package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.daemon.limits.BodyBounds;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.limits.HeldBody;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;

/**
 * Reads the unmodified body of a request, up to a limit of size and time.
 *
 * <p>Vert.x Web's body handler is not used because it decodes form bodies, which must be forwarded unchanged. Used on
 * the request's event loop.
 */
final class BodyReader {
    private static final Duration BODY_TIMEOUT = Duration.ofSeconds(10);

    private final ClientConnectionLimiter limiter;
    private final long maxBodyBytes;

    BodyReader(ClientConnectionLimiter limiter, long maxBodyBytes) {
        this.limiter = limiter;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Starts reading; the body is refused if it is too large or arrives too slowly, and must be closed by the caller. */
    HeldBody read(HttpServerRequest http) {
        HeldBody body = limiter.readBody(http, BodyBounds.whole(maxBodyBytes));
        Vertx vertx = Vertx.currentContext().owner();
        long timer = vertx.setTimer(BODY_TIMEOUT.toMillis(), fired -> body.refuse(CloseReason.BODY_TIMEOUT));
        body.held().onComplete(done -> vertx.cancelTimer(timer));
        return body;
    }
}
