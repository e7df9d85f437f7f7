package io.daisyhoist.mesh.connection;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Sends requests to the backend server beside this daemon.
 *
 * <p>Invariants: a request is written at most once; an answer goes only to the request whose id it bears; a connection on
 * which an answer was incomplete, damaged or given up is closed. Confined to the traffic event loop.
 */
public final class BackendHttpClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int WAITING_PER_CONNECTION = 4;

    /** Shorter than the idle time after which backend servers close connections, so that none closes as it is used. */
    private static final int KEEP_ALIVE_S = 4;

    private final HttpClient client;
    private final BackendHttpExchange.Environment environment;

    /**
     * Creates a client without connections.
     *
     * @param maxConnections most connections that are open at once
     */
    public BackendHttpClient(Vertx vertx, Context context, HeaderNames names, int maxConnections, TimeSource time) {
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_S)
                        .setMaxHeaderSize(65_536),
                new PoolOptions()
                        .setHttp1MaxSize(maxConnections)
                        .setMaxWaitQueueSize(WAITING_PER_CONNECTION * maxConnections));
        this.environment = new BackendHttpExchange.Environment(context, client, names, time);
    }

    /** Takes part in one exchange, on the traffic event loop. */
    public interface Observer {
        /** Returns whether the request may still be written; asked immediately before the write. */
        boolean mayBeWritten();

        /** The request is being written. */
        void onWritten();

        /** The answer says how long work takes at the backend server relative to the usual. */
        void onSlowdown(double slowdown);
    }

    /**
     * Sends a request.
     *
     * @param cancelled completes when nobody waits for the answer any more
     */
    public Future<BackendAnswer> send(
            Endpoint backend, BackendRequestData request, Future<Void> cancelled, Observer observer) {
        BackendHttpExchange exchange = new BackendHttpExchange(environment, backend, request, observer);
        cancelled.onComplete(gone -> exchange.cancel());
        exchange.start();
        return exchange.result();
    }

    @Override
    public void close() {
        client.close();
    }
}
