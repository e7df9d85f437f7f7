package io.daisyhoist.testkit.link;

import java.util.HashSet;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;

/**
 * TCP proxy to one target that can cut, stall or delay each direction separately.
 *
 * <p>All connections run on one event loop; {@link #setMode} may be called on any thread.
 */
public final class LinkProxy extends VerticleBase {
    private final String host;
    private final int requestedPort;
    private final String targetHost;
    private final int targetPort;
    private final Set<ProxiedConnection> connections = new HashSet<>();
    private LinkDirection toTarget;
    private LinkDirection toClient;
    private NetClient client;
    private volatile int port;

    /** Directions that a mode change applies to. */
    public enum Side {
        TO_TARGET,
        TO_CLIENT,
        BOTH
    }

    private LinkProxy(String host, int port, String targetHost, int targetPort) {
        this.host = host;
        this.requestedPort = port;
        this.targetHost = targetHost;
        this.targetPort = targetPort;
    }

    /** Starts a proxy; port 0 selects a free one. */
    public static Future<LinkProxy> start(Vertx vertx, String host, int port, String targetHost, int targetPort) {
        LinkProxy proxy = new LinkProxy(host, port, targetHost, targetPort);
        return vertx.deployVerticle(proxy).map(proxy);
    }

    public int port() {
        return port;
    }

    /** Stops the proxy and closes its connections. */
    public Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    @Override
    public Future<?> start() {
        toTarget = new LinkDirection(vertx);
        toClient = new LinkDirection(vertx);
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(5_000));
        return vertx.createNetServer(new NetServerOptions().setHost(host).setPort(requestedPort))
                .connectHandler(this::handleConnection)
                .listen()
                .map(NetServer::actualPort)
                .onSuccess(actual -> port = actual);
    }

    /** Changes the mode; the result completes once the change has been applied. */
    public Future<Void> setMode(Side side, LinkMode mode, long delayMillis) {
        return Future.future(done -> context.runOnContext(ignored -> {
            if (side != Side.TO_CLIENT) {
                toTarget.setMode(mode, delayMillis);
            }
            if (side != Side.TO_TARGET) {
                toClient.setMode(mode, delayMillis);
            }
            applyMode();
            done.complete();
        }));
    }

    private void applyMode() {
        for (ProxiedConnection connection : Set.copyOf(connections)) {
            if (isCut()) {
                connection.close();
            } else {
                connection.flush();
            }
        }
    }

    private boolean isCut() {
        return toTarget.mode() == LinkMode.CUT || toClient.mode() == LinkMode.CUT;
    }

    private void handleConnection(NetSocket clientSocket) {
        if (isCut()) {
            clientSocket.close();
            return;
        }
        clientSocket.pause();
        client.connect(targetPort, targetHost)
                .onSuccess(targetSocket -> new ProxiedConnection(clientSocket, targetSocket).start())
                .onFailure(cause -> clientSocket.close());
    }

    /** The sockets to the client and to the target of one connection. Confined to the event loop of the proxy. */
    private final class ProxiedConnection {
        private final NetSocket clientSocket;
        private final NetSocket targetSocket;
        private final LinkDirection.Stream toTargetStream;
        private final LinkDirection.Stream toClientStream;

        ProxiedConnection(NetSocket clientSocket, NetSocket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
            this.toTargetStream = toTarget.openStream(targetSocket::write);
            this.toClientStream = toClient.openStream(clientSocket::write);
        }

        void start() {
            if (isCut()) {
                clientSocket.close();
                targetSocket.close();
                return;
            }
            connections.add(this);
            clientSocket.closeHandler(closed -> close());
            targetSocket.closeHandler(closed -> close());
            clientSocket.handler(toTargetStream::write);
            targetSocket.handler(toClientStream::write);
            clientSocket.resume();
        }

        void flush() {
            toTargetStream.flush();
            toClientStream.flush();
        }

        void close() {
            if (connections.remove(this)) {
                clientSocket.close();
                targetSocket.close();
            }
        }
    }
}
