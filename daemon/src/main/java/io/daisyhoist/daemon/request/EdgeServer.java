package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;

/**
 * HTTP/1.1 server of the client port.
 *
 * <p>A request that cannot be decoded gets a typed refusal and its connection is closed. Thread-safe.
 */
public final class EdgeServer {
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;
    private static final int IDLE_TIMEOUT_SECONDS = 75;

    private final HttpServer server;
    private volatile boolean draining;

    /** Creates a server that does not listen yet. */
    public EdgeServer(Vertx vertx, Router router, EdgeLimits limits) {
        HttpServerOptions options = new HttpServerOptions()
                .setMaxHeaderSize(limits.maxHeaderBytes())
                .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(options)
                .requestHandler(request -> {
                    if (draining) {
                        request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
                    }
                    router.handle(request);
                })
                .invalidRequestHandler(EdgeServer::refuseInvalid);
    }

    /**
     * Closes each connection after its next response, so that no client still uses one when the server is shut down;
     * closing a connection while a request arrives on it would interrupt that request.
     */
    public void startDraining() {
        draining = true;
    }

    /**
     * Starts to listen.
     *
     * @param port TCP port, or 0 for any free port
     * @return the port in use
     */
    public Future<Integer> listen(String host, int port) {
        return server.listen(port, host).map(HttpServer::actualPort);
    }

    /** Stops listening, waits up to the grace period for requests in flight, and closes the connections. */
    public Future<Void> shutdown(Duration grace) {
        return server.shutdown(grace.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Stops listening and closes the connections. */
    public Future<Void> close() {
        return server.close();
    }

    private static void refuseInvalid(HttpServerRequest http) {
        Throwable cause = http.decoderResult().cause();
        boolean tooLarge = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        Refusal refusal = tooLarge
                ? Refusal.of(RefusalCode.TOO_LARGE, "request head is too large", Duration.ZERO)
                : Refusal.of(RefusalCode.BAD_REQUEST, "request cannot be decoded", Duration.ZERO);
        ResponseWriter.writeAndClose(http.response(), refusal);
    }
}
