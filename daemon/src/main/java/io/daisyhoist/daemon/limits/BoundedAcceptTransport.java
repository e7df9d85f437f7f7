package io.daisyhoist.daemon.limits;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.daisyhoist.core.client.ConnectionBounds;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.spi.transport.Transport;

/**
 * Transport whose server ports accept a bounded number of connections; further ones wait in the backlog of the port.
 *
 * <p>The event loop that serves the connections may be late; without this bound, more connections could be accepted in the
 * meantime than the process has descriptors. Thread-safe.
 */
public final class BoundedAcceptTransport extends NioTransport implements io.vertx.core.transport.Transport {
    /** Connections beyond the limit of the client port, so that a new one can take the place of another. */
    private static final int SURPLUS = 4;

    private static final long RETRY_MILLIS = 10;

    private final int clientPort;
    private final int maxClientConnections;
    private final int maxInternalConnections;

    /** Creates a transport. */
    public BoundedAcceptTransport(int clientPort, int maxClientConnections) {
        this.clientPort = clientPort;
        this.maxClientConnections = maxClientConnections + SURPLUS;
        this.maxInternalConnections = ConnectionBounds.maxInternalConnections(maxClientConnections) + SURPLUS;
    }

    @Override
    public String name() {
        return "nio";
    }

    @Override
    public boolean available() {
        return true;
    }

    @Override
    public Throwable unavailabilityCause() {
        return null;
    }

    @Override
    public Transport implementation() {
        return this;
    }

    @Override
    public ChannelFactory<? extends ServerChannel> serverChannelFactory(boolean domainSocket) {
        return domainSocket ? super.serverChannelFactory(true) : BoundedServerChannel::new;
    }

    /** Server port with a bounded number of open connections. Confined to its event loop, except for the count. */
    private final class BoundedServerChannel extends NioServerSocketChannel {
        private final AtomicInteger open = new AtomicInteger();
        private int maxOpen = maxInternalConnections;

        @Override
        protected void doBind(SocketAddress address) throws Exception {
            if (address instanceof InetSocketAddress bound && bound.getPort() == clientPort) {
                maxOpen = maxClientConnections;
            }
            super.doBind(address);
        }

        @Override
        protected int doReadMessages(List<Object> accepted) throws Exception {
            if (open.get() >= maxOpen) {
                config().setAutoRead(false);
                eventLoop().schedule(() -> config().setAutoRead(true), RETRY_MILLIS, TimeUnit.MILLISECONDS);
                return 0;
            }
            int count = super.doReadMessages(accepted);
            if (count > 0) {
                open.incrementAndGet();
                Channel connection = (Channel) accepted.get(accepted.size() - 1);
                connection.closeFuture().addListener(closed -> countDown(connection.eventLoop()));
            }
            return count;
        }

        /** The descriptor of a closed connection is returned when the event loop polls; a timer runs after that. */
        private void countDown(EventLoop loop) {
            if (loop.isShuttingDown()) {
                open.decrementAndGet();
                return;
            }
            loop.execute(() -> loop.schedule(open::decrementAndGet, 0, TimeUnit.NANOSECONDS));
        }
    }
}
