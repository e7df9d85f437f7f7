package io.daisyhoist.daemon.connection;

import java.util.function.BooleanSupplier;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Context;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * Sends requests to the one backend server beside this daemon.
 *
 * <p>Invariants: a request is written at most once; a request that was reported as not written never is; a response is
 * given only to the call whose request it answers, because a connection carries one request at a time and is closed when
 * its call ends without a complete response. All requests are written by one event loop, so that nothing but the write
 * follows the last check. Thread-safe.
 */
public final class BackendClient implements AutoCloseable {
    /** Loopback connections open in about 1 ms; a backend server that takes longer is not accepting. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /** Connections that are being opened count as waiting, and so do cancelled requests until a connection is free. */
    private static final int WAITING_PER_CONNECTION = 2;

    private final Context context;
    private final HttpClient client;
    private final Endpoint backend;
    private final TimeSource time;

    /**
     * Creates a client without connections.
     *
     * @param context event loop context that writes all requests and on which results are delivered
     * @param maxConnections most connections that the backend server is given
     */
    public BackendClient(Vertx vertx, Context context, Endpoint backend, int maxConnections, TimeSource time) {
        this.context = context;
        this.backend = backend;
        this.time = time;
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false)
                        .setKeepAlive(true),
                new PoolOptions()
                        .setHttp1MaxSize(maxConnections)
                        .setMaxWaitQueueSize(WAITING_PER_CONNECTION * maxConnections));
    }

    /**
     * Starts a request.
     *
     * @param lastCheck called on the event loop immediately before the request is written; {@code false} stops it
     */
    public BackendCall send(BackendRequest request, BooleanSupplier lastCheck) {
        BackendExchange exchange = new BackendExchange(context, client, backend, request, lastCheck, time);
        context.runOnContext(start -> exchange.start());
        return exchange;
    }

    /** Closes all connections; written requests become unknown. */
    @Override
    public void close() {
        client.close();
    }
}
