package io.daisyhoist.mesh.connection;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BodyBudget;
import io.daisyhoist.daemon.connection.WatchedHttpClients;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;

/**
 * HTTP client of the local backend server.
 *
 * <p>Invariants: a request is written at most once; a response is delivered only to the request whose id it contains; a
 * connection on which a response was incomplete, invalid or abandoned is closed. Confined to the traffic event loop.
 */
public final class BackendHttpClient implements AutoCloseable {
    /** Bytes of all responses that are read at the same time; a small part of the heap, since a response is copied. */
    private static final long MAX_RESPONSE_BYTES = 24L << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 300;
    private static final int MAX_QUEUED_PER_CONNECTION = 4;

    /** Shorter than the idle timeout of backend servers, so that they do not close a connection that is being reused. */
    private static final int KEEP_ALIVE_SECONDS = 4;

    private final HttpClient client;
    private final BodyBudget responseBudget = new BodyBudget(MAX_RESPONSE_BYTES);
    private final BackendHttpExchange.Dependencies exchangeDependencies;

    /** Written by the traffic event loop, and read by others for metrics. */
    private volatile long unsolicitedReads;

    private volatile long retiredConnections;

    /**
     * Creates a client without open connections.
     *
     * @param maxConnections maximum number of open connections
     */
    public BackendHttpClient(
            Vertx vertx, Context context, HeaderNames headerNames, int maxConnections, TimeSource time) {
        this.client = WatchedHttpClients.createClient(
                vertx,
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setPipelining(false)
                        .setKeepAlive(true)
                        .setKeepAliveTimeout(KEEP_ALIVE_SECONDS)
                        .setMaxHeaderSize(65_536),
                new PoolOptions()
                        .setHttp1MaxSize(maxConnections)
                        .setMaxWaitQueueSize(MAX_QUEUED_PER_CONNECTION * maxConnections),
                new WatchedHttpClients.Listener() {
                    @Override
                    public void onUnsolicitedBytes(int localPort, int responses, int bytes) {
                        unsolicitedReads++;
                    }

                    @Override
                    public void onRetired() {
                        retiredConnections++;
                    }
                });
        this.exchangeDependencies = new BackendHttpExchange.Dependencies(
                context, client, responseBudget, new SentRequestIds(), headerNames, time);
    }

    /** Returns the number of bytes that responses hold while they are read. */
    long responseBytes() {
        return responseBudget.heldBytes();
    }

    /** Returns how many times bytes have arrived on connections that expected no response. */
    public long unsolicitedReads() {
        return unsolicitedReads;
    }

    /** Returns how many connections were closed because it could not be told whether bytes follow their response. */
    public long retiredConnections() {
        return retiredConnections;
    }

    /** Receives events of one exchange, on the traffic event loop. */
    public interface Observer {
        /** Returns whether the request may still be written; called immediately before the write. */
        boolean mayBeWritten();

        /** Returns whether the header fields for the API key and the customer are removed from what the client sent. */
        default boolean removesCustomerHeaders() {
            return false;
        }

        /** Called when the request is written. */
        void onWrite();

        /** Called when the backend server refused the connection, because no process listens at its address. */
        void onConnectionRefused();

        /** Called with the slowdown factor in the load header of a response. */
        void onSlowdown(double slowdown);

        /** Called when a response is not accepted. */
        default void onResponseFault(ResponseFault fault) {}
    }

    /**
     * Sends a request.
     *
     * @param cancelled completes when the caller no longer needs the response
     */
    public Future<BackendOutcome> send(
            Endpoint backend, BackendRequestData request, Future<Void> cancelled, Observer observer) {
        BackendHttpExchange exchange = new BackendHttpExchange(exchangeDependencies, backend, request, observer);
        cancelled.onComplete(done -> exchange.cancel());
        exchange.start();
        return exchange.result();
    }

    @Override
    public void close() {
        client.close();
    }
}
