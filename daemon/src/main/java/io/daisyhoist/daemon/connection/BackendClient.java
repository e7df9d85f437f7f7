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
 * Sends requests to the local backend server.
 *
 * <p>Invariants: a request is written at most once; a request that was reported as not written is never written; a
 * response is delivered only to the call of its request, because a connection carries one request at a time and is
 * closed if its call ends without a complete response, if the response is not accepted, or if bytes arrive between two
 * requests. The exception is a response without an id whose whole head arrives again in place of the next one. All requests
 * are written by one event loop, so that the write follows the pre-write check immediately. Thread-safe.
 */
public final class BackendClient implements AutoCloseable {
    /** Loopback connections open in about 1 ms; a backend server that takes longer is not accepting. */
    private static final int CONNECT_TIMEOUT_MILLIS = 500;

    /**
     * The pool counts connections being opened as waiting, as well as cancelled requests until a connection is free.
     */
    private static final int QUEUED_PER_CONNECTION = 2;

    private final Context context;
    private final HttpClient client;
    private final Endpoint backend;
    private final TimeSource time;

    /**
     * Creates a client without connections.
     *
     * @param context event loop context that writes all requests and on which results are delivered
     * @param maxConnections maximum number of connections to the backend server
     */
    public BackendClient(Vertx vertx, Context context, Endpoint backend, int maxConnections, TimeSource time) {
        this.context = context;
        this.backend = backend;
        this.time = time;
        this.client = WatchedHttpClients.createClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false)
                        .setKeepAlive(true),
                new PoolOptions()
                        .setHttp1MaxSize(maxConnections)
                        .setMaxWaitQueueSize(QUEUED_PER_CONNECTION * maxConnections));
    }

    /**
     * Starts a request.
     *
     * @param preWriteCheck called on the event loop immediately before the request is written; {@code false} prevents
     *     the write
     */
    public BackendCall send(BackendRequest request, BooleanSupplier preWriteCheck) {
        BackendExchange exchange = new BackendExchange(context, client, backend, request, preWriteCheck, time);
        context.runOnContext(start -> exchange.start());
        return exchange;
    }

    /** Closes all connections; the outcome of written requests becomes unknown. */
    @Override
    public void close() {
        client.close();
    }
}
