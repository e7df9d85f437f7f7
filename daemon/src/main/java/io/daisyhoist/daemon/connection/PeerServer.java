package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.Endpoint;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;

/**
 * Accepts connections of other daemons and passes their messages to a {@link PeerHandler}.
 *
 * <p>Invariants: no message reaches the handler before a valid {@code Hello}; a connection that violates the protocol
 * is closed with a logged reason; a connection whose peer does not read its replies is not read (backpressure).
 * Thread-safe. The caller owns the event loops.
 */
public final class PeerServer implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int BACKLOG = 1024;
    private static final int DEFAULT_MAX_UNIDENTIFIED = 512;

    private final EventLoopGroup eventLoops;
    private final PeerIdentity identity;
    private final PeerLimits limits;
    private final PeerHandler handler;
    private final PeerByteCounter byteCounter = new PeerByteCounter();
    private final FrameBudget frames = FrameBudget.ofHeap();
    private final UnidentifiedConnections unidentified;
    private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);

    /** Creates a server that does not listen yet, for a process with many descriptors. */
    public PeerServer(EventLoopGroup eventLoops, PeerIdentity identity, PeerLimits limits, PeerHandler handler) {
        this(eventLoops, identity, limits, DEFAULT_MAX_UNIDENTIFIED, handler);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param maxUnidentified connections whose sender has not said yet which daemon it is
     */
    public PeerServer(
            EventLoopGroup eventLoops,
            PeerIdentity identity,
            PeerLimits limits,
            int maxUnidentified,
            PeerHandler handler) {
        this.eventLoops = eventLoops;
        this.identity = identity;
        this.limits = limits;
        this.handler = handler;
        this.unidentified = new UnidentifiedConnections(maxUnidentified);
    }

    /**
     * Starts to listen.
     *
     * @param host numeric IP address
     * @param port TCP port, or 0 for any free port
     * @return the bound address; fails if the port cannot be bound
     */
    public CompletionStage<Endpoint> listen(String host, int port) {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, limits.waterMark())
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        initConnection(channel);
                    }
                });
        return NettyConversions.toStage(bootstrap.bind(host, port)).thenApply(channel -> {
            channels.add(channel);
            Endpoint bound = NettyConversions.localEndpoint(channel);
            LOGGER.atInfo().log("event=peer_server_listening address=%s", bound);
            return bound;
        });
    }

    /** Returns the byte counter of all accepted connections. */
    public PeerByteCounter byteCounter() {
        return byteCounter;
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return (int) channels.stream().filter(SocketChannel.class::isInstance).count();
    }

    private void initConnection(SocketChannel channel) {
        channels.add(channel);
        unidentified.add(channel);
        Duration idleTimeout = limits.idleTimeout().multipliedBy(2);
        PeerPipeline.install(
                channel,
                limits,
                byteCounter,
                frames,
                new IdleStateHandler(idleTimeout.toMillis(), 0, 0, TimeUnit.MILLISECONDS),
                new PeerServerConnection(identity, limits, handler, () -> unidentified.remove(channel)));
    }

    /** Stops listening and closes all connections without waiting for replies. */
    @Override
    public void close() {
        channels.forEach(Channel::close);
    }
}
