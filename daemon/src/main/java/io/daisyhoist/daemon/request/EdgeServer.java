package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServer;
import io.vertx.ext.web.Router;

/**
 * HTTP/1.1 server of the client port.
 *
 * <p>A request that stays outside the limits or cannot be decoded gets a typed refusal and its connection is closed.
 * Connections are served by one event loop; the methods are thread-safe.
 */
public final class EdgeServer {
    /** The limit of header bytes does not include the request line. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;

    private final Context context;
    private final ClientConnectionLimiter limiter;
    private final HttpServer server;
    private volatile boolean draining;

    /**
     * Creates a server that does not listen yet.
     *
     * @param context event loop context that serves all connections
     * @param maxHeaderBytes maximum size of the header fields of a request
     */
    public EdgeServer(
            Vertx vertx, Context context, Router router, ClientConnectionLimiter limiter, int maxHeaderBytes) {
        this.context = context;
        this.limiter = limiter;
        server = vertx.createHttpServer(ClientConnectionLimiter.serverOptions()
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES))
                .connectionHandler(limiter::onConnection)
                .requestHandler(request -> {
                    if (draining) {
                        request.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
                    }
                    router.handle(request);
                });
    }

    /**
     * Creates the limiter of the connections of one server.
     *
     * @param limits limits of requests, of which the maximum size of the header fields does not include the request line
     */
    public static ClientConnectionLimiter newLimiter(
            Vertx vertx,
            TimeSource time,
            ClientLimits limits,
            ConnectionBounds bounds,
            MemoryBudget budget,
            DaemonMetrics metrics) {
        ClientLimits withRequestLine = new ClientLimits(
                limits.maxHeaderBytes() + MAX_REQUEST_LINE_BYTES,
                limits.maxBodyBytes(),
                limits.headerTimeout(),
                limits.idleTimeout());
        return new ClientConnectionLimiter(
                vertx,
                time,
                () -> withRequestLine,
                bounds,
                budget,
                new ClientConnectionLimiter.Refusals(EdgeRefusals::encode, metrics::onClientRefused));
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
        Promise<Integer> listening = Promise.promise();
        context.runOnContext(run -> {
            limiter.start();
            server.listen(port, host).map(HttpServer::actualPort).onComplete(listening);
        });
        return listening.future();
    }

    /** Stops listening, waits up to the grace period for requests in flight, and closes the connections. */
    public Future<Void> shutdown(Duration grace) {
        return server.shutdown(grace.toMillis(), TimeUnit.MILLISECONDS).onComplete(closed -> limiter.stop());
    }

    /** Stops listening and closes the connections. */
    public Future<Void> close() {
        return server.close().onComplete(closed -> limiter.stop());
    }
}
