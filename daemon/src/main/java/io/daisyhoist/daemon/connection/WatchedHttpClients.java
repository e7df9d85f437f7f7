package io.daisyhoist.daemon.connection;

import java.util.Optional;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.AttributeKey;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.impl.HttpClientConnectionInternal;

/**
 * Creates HTTP/1.1 clients whose connections are closed when bytes arrive that belong to no request.
 *
 * <p>The HTTP decoder would keep such bytes if they are no complete head, and read them as the beginning of the next response.
 * Stateless.
 */
public final class WatchedHttpClients {
    /** Outlives the pipeline, from which a closed channel removes its handlers. */
    private static final AttributeKey<UnsolicitedBytesHandler> BYTES_HANDLER =
            AttributeKey.valueOf(UnsolicitedBytesHandler.class, "bytesHandler");

    private WatchedHttpClients() {}

    /** Receives what happens on the connections of a client, on their event loops. */
    public interface Listener {
        /**
         * Called when bytes arrive while no response is expected.
         *
         * @param localPort local port of the connection
         * @param responses number of responses that the connection has carried
         * @param bytes number of bytes; zero if they were read together with the end of a response
         */
        void onUnsolicitedBytes(int localPort, int responses, int bytes);

        /** Called when a connection is closed because it cannot be told whether bytes follow its response. */
        default void onRetired() {}
    }

    /** Creates a client without open connections, and without a listener. */
    public static HttpClient createClient(Vertx vertx, HttpClientOptions options, PoolOptions poolOptions) {
        return createClient(vertx, options, poolOptions, (localPort, responses, bytes) -> {});
    }

    /** Creates a client without open connections. */
    public static HttpClient createClient(
            Vertx vertx, HttpClientOptions options, PoolOptions poolOptions, Listener listener) {
        return vertx.httpClientBuilder()
                .with(options)
                .with(poolOptions)
                .withConnectHandler(connection -> watch(connection, listener))
                .build();
    }

    private static void watch(HttpConnection connection, Listener listener) {
        ChannelHandlerContext httpHandler = context(connection);
        UnsolicitedBytesHandler bytesHandler = new UnsolicitedBytesHandler(httpHandler.channel(), listener);
        httpHandler.channel().attr(BYTES_HANDLER).set(bytesHandler);
        ChannelPipeline pipeline = httpHandler.pipeline();
        // One handler sees the bytes that the decoder reads, and the other one the messages that it makes of them.
        pipeline.addBefore(pipeline.context(HttpClientCodec.class).name(), null, bytesHandler);
        pipeline.addBefore(httpHandler.name(), null, new ResponseEndHandler(bytesHandler));
    }

    /** Returns the number of responses that a watched connection has carried completely; empty if it is not watched. */
    public static Optional<Integer> responses(HttpConnection connection) {
        return bytesHandler(connection).map(UnsolicitedBytesHandler::responses);
    }

    /** Returns whether bytes have arrived on a watched connection that belong to no request. */
    public static boolean hasSeenUnsolicitedBytes(HttpConnection connection) {
        return bytesHandler(connection)
                .filter(UnsolicitedBytesHandler::hasSeenUnsolicitedBytes)
                .isPresent();
    }

    private static Optional<UnsolicitedBytesHandler> bytesHandler(HttpConnection connection) {
        return Optional.ofNullable(
                context(connection).channel().attr(BYTES_HANDLER).get());
    }

    private static ChannelHandlerContext context(HttpConnection connection) {
        return ((HttpClientConnectionInternal) connection).channelHandlerContext();
    }
}
