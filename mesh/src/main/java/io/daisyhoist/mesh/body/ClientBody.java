package io.daisyhoist.mesh.body;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;

import io.daisyhoist.daemon.limits.BodyBounds;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.limits.HeldBody;
import io.daisyhoist.daemon.limits.RequestRefusedException;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;

/** Body of the request of a client, of which a long one is streamed. Confined to the traffic event loop. */
public final class ClientBody {
    /** Time in which a client can read a response before its connection is closed although it still sends its body. */
    private static final Duration MAX_DISCARD_TIME = Duration.ofSeconds(1);

    private final HttpServerRequest http;
    private final long maxBytes;
    private final HeldBody held;
    private final Future<RequestBody> body;
    private Optional<ClientBodyRest> rest = Optional.empty();

    private ClientBody(HttpServerRequest http, long maxBytes, HeldBody held) {
        this.http = http;
        this.maxBytes = maxBytes;
        this.held = held;
        this.body = held.held().map(first -> held.isWhole() ? RequestBody.of(first) : streamRest(first));
    }

    /** Starts reading the body of a request. */
    public static ClientBody read(HttpServerRequest http, long maxBytes, ClientConnectionLimiter limiter) {
        BodyBounds bounds = new BodyBounds(maxBytes, BodyLimits.FIRST_PART_BYTES, BodyLimits.WINDOW_BYTES);
        return new ClientBody(http, maxBytes, limiter.readBody(http, bounds));
    }

    /** Returns the body; fails with {@link RequestRefusedException} if it is not accepted. */
    public Future<RequestBody> body() {
        return body;
    }

    /** Takes over the paused request at once, before more of its body is delivered. */
    private RequestBody streamRest(Buffer first) {
        ClientBodyRest remaining = new ClientBodyRest(http, maxBytes - first.length());
        rest = Optional.of(remaining);
        return RequestBody.streamed(first, held.statedLength(), remaining);
    }

    /** Returns the bytes after the first part that were passed on; empty if the body is not streamed. */
    public OptionalLong streamedBytes() {
        return rest.map(streamed -> OptionalLong.of(streamed.readBytes())).orElseGet(OptionalLong::empty);
    }

    /** Returns whether a streamed body was passed on to its end. */
    public boolean isPassedOn() {
        return rest.filter(ClientBodyRest::isEnded).isPresent();
    }

    /** Returns the reserved memory, and ends all reads. */
    public void close() {
        rest.ifPresent(ClientBodyRest::close);
        held.close();
    }

    /**
     * Reads and discards what the client still sends, so that its connection can be closed without a reset, which could destroy the
     * response on its way; completes when the body has ended, or after a time that allows the client to read the response.
     */
    public Future<Void> discardRest(Vertx vertx) {
        Promise<Void> ended = Promise.promise();
        long timer = vertx.setTimer(MAX_DISCARD_TIME.toMillis(), fired -> ended.tryComplete());
        http.handler(part -> {});
        http.endHandler(end -> ended.tryComplete());
        http.exceptionHandler(lost -> ended.tryComplete());
        http.resume();
        return ended.future().onComplete(done -> vertx.cancelTimer(timer));
    }
}
