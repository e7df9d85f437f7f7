package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.ForwardResponse;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/** A peer server and a peer client on loopback, for tests. */
final class PeerNode implements AutoCloseable {
    static final PeerLimits LIMITS = new PeerLimits(
            2 << 20,
            64,
            1 << 20,
            4 << 20,
            Duration.ofMillis(300),
            Duration.ofMillis(20),
            Duration.ofMillis(50),
            Duration.ofMillis(100),
            Duration.ofSeconds(30));

    final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    final PeerServer server;
    final PeerClient client;
    final Endpoint endpoint;

    PeerNode(String name, String cluster, PeerHandler handler) {
        this(name, cluster, handler, 0);
    }

    PeerNode(String name, String cluster, PeerHandler handler, int port) {
        PeerIdentity identity = new PeerIdentity(cluster, new ProcessId(new DaemonId(name), name.hashCode()));
        server = new PeerServer(eventLoops, identity, LIMITS, handler);
        client = new PeerClient(eventLoops, identity, LIMITS, new Random(7));
        endpoint = server.listen("127.0.0.1", port).toCompletableFuture().join();
    }

    static Envelope request(String text) {
        return Envelope.newBuilder()
                .setForwardRequest(ForwardRequest.newBuilder().setPath(text))
                .build();
    }

    static Envelope response(String text) {
        return Envelope.newBuilder()
                .setForwardResponse(ForwardResponse.newBuilder().setBackend(text))
                .build();
    }

    Envelope callAndWait(Endpoint to, Envelope message, Duration timeout) throws Exception {
        try {
            return client.call(to, PeerChannel.TRAFFIC, message, timeout).get(10, TimeUnit.SECONDS);
        } catch (ExecutionException | CompletionException e) {
            throw (Exception) e.getCause();
        }
    }

    @Override
    public void close() {
        client.close();
        server.close();
        eventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }
}
