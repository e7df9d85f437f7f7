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
 * TCP relay to one target whose two directions can be cut, stalled or delayed separately.
 *
 * <p>All connections run on one event loop; {@link #set} may be called on any thread.
 */
public final class LinkProxy extends VerticleBase {
    private final String host;
    private final int requestedPort;
    private final String targetHost;
    private final int targetPort;
    private final Set<Relay> relays = new HashSet<>();
    private LinkDirection toTarget;
    private LinkDirection toClient;
    private NetClient client;
    private volatile int port;

    /** Directions that a change concerns. */
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

    /** Starts a relay; port 0 takes a free one. */
    public static Future<LinkProxy> start(Vertx vertx, String host, int port, String targetHost, int targetPort) {
        LinkProxy proxy = new LinkProxy(host, port, targetHost, targetPort);
        return vertx.deployVerticle(proxy).map(proxy);
    }

    public int port() {
        return port;
    }

    /** Stops the relay and closes its connections. */
    public Future<Void> close() {
        return vertx.undeploy(deploymentID());
    }

    @Override
    public Future<?> start() {
        toTarget = new LinkDirection(vertx);
        toClient = new LinkDirection(vertx);
        client = vertx.createNetClient(new NetClientOptions().setConnectTimeout(5_000));
        return vertx.createNetServer(new NetServerOptions().setHost(host).setPort(requestedPort))
                .connectHandler(this::accept)
                .listen()
                .map(NetServer::actualPort)
                .onSuccess(actual -> port = actual);
    }

    /** Changes the mode; the result completes once it is in force. */
    public Future<Void> set(Side side, LinkMode mode, long delayMillis) {
        return Future.future(done -> context.runOnContext(nothing -> {
            if (side != Side.TO_CLIENT) {
                toTarget.set(mode, delayMillis);
            }
            if (side != Side.TO_TARGET) {
                toClient.set(mode, delayMillis);
            }
            applyMode();
            done.complete();
        }));
    }

    private void applyMode() {
        for (Relay relay : Set.copyOf(relays)) {
            if (isCut()) {
                relay.close();
            } else {
                relay.drain();
            }
        }
    }

    private boolean isCut() {
        return toTarget.mode() == LinkMode.CUT || toClient.mode() == LinkMode.CUT;
    }

    private void accept(NetSocket near) {
        if (isCut()) {
            near.close();
            return;
        }
        near.pause();
        client.connect(targetPort, targetHost)
                .onSuccess(far -> new Relay(near, far).begin())
                .onFailure(cause -> near.close());
    }

    /** A pair of connected sockets. Confined to the event loop of the proxy. */
    private final class Relay {
        private final NetSocket near;
        private final NetSocket far;
        private final LinkDirection.Stream outbound;
        private final LinkDirection.Stream inbound;

        Relay(NetSocket near, NetSocket far) {
            this.near = near;
            this.far = far;
            this.outbound = toTarget.open(far::write);
            this.inbound = toClient.open(near::write);
        }

        void begin() {
            if (isCut()) {
                near.close();
                far.close();
                return;
            }
            relays.add(this);
            near.closeHandler(closed -> close());
            far.closeHandler(closed -> close());
            near.handler(outbound::accept);
            far.handler(inbound::accept);
            near.resume();
        }

        void drain() {
            outbound.drain();
            inbound.drain();
        }

        void close() {
            if (relays.remove(this)) {
                near.close();
                far.close();
            }
        }
    }
}
