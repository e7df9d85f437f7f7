package io.daisyhoist.daemon.limits;

import java.time.Duration;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;

/**
 * HTTP server of a port that only operators, the platform and the local backend server use, with limits for few connections.
 *
 * <p>The limits are those of the client port, because whoever reaches the port can send the same. Bodies are bounded by their
 * handlers. Stateless.
 */
public final class InternalHttpServer {
    /** Request line and header fields. */
    private static final int MAX_HEADER_BYTES = 16 << 10;

    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);

    /** Share of the heap for heads and responses of one port. */
    private static final double HEAP_SHARE = 1.0 / 32;

    private static final ClientLimits LIMITS =
            new ClientLimits(MAX_HEADER_BYTES, Long.MAX_VALUE, HEADER_TIMEOUT, IDLE_TIMEOUT);

    private InternalHttpServer() {}

    private static ConnectionBounds bounds(int maxConnections) {
        ConnectionBounds defaults = ConnectionBounds.DEFAULT;
        return new ConnectionBounds(
                defaults.maxHeaderFields(),
                defaults.maxPipelinedBytes(),
                defaults.minBodyBytesPerSecond(),
                maxConnections,
                maxConnections);
    }

    /**
     * Starts a server on the event loop of the caller, or on one of its own.
     *
     * @param maxConnections open connections; further ones take the place of others
     */
    public static Future<HttpServer> listen(
            Vertx vertx, TimeSource time, Endpoint address, int maxConnections, Handler<HttpServerRequest> handler) {
        MemoryBudget budget = new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE));
        ClientConnectionLimiter limiter = new ClientConnectionLimiter(
                vertx,
                time,
                () -> LIMITS,
                bounds(maxConnections),
                budget,
                new ClientConnectionLimiter.Refusals(RefusalFormat.WITHOUT_BODY, refused -> {}));
        HttpServer server = vertx.createHttpServer(ClientConnectionLimiter.serverOptions())
                .connectionHandler(limiter::onConnection)
                .requestHandler(handler);
        Promise<HttpServer> listening = Promise.promise();
        Context context = vertx.getOrCreateContext();
        context.runOnContext(run -> {
            limiter.start();
            server.listen(address.port(), address.host()).onComplete(listening);
        });
        return listening.future();
    }
}
