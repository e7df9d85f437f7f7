package io.daisyhoist.testkit.link;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

import io.daisyhoist.testkit.Futures;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LinkProxyTest {
    private final List<String> receivedByTarget = new CopyOnWriteArrayList<>();
    private final List<String> receivedByClient = new CopyOnWriteArrayList<>();
    private final AtomicBoolean clientClosed = new AtomicBoolean();
    private Vertx vertx;
    private LinkProxy proxy;
    private NetSocket client;

    @BeforeEach
    void connect() {
        vertx = Vertx.vertx();
        NetServer target = Futures.awaitResult(vertx.createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> {
                    receivedByTarget.add(bytes.toString());
                    socket.write(bytes);
                }))
                .listen(0, "127.0.0.1"));
        proxy = Futures.awaitResult(LinkProxy.start(vertx, "127.0.0.1", 0, "127.0.0.1", target.actualPort()));
        client = Futures.awaitResult(vertx.createNetClient().connect(proxy.port(), "127.0.0.1"));
        client.handler(bytes -> receivedByClient.add(bytes.toString()));
        client.closeHandler(closed -> clientClosed.set(true));
    }

    @AfterEach
    void stop() {
        Futures.awaitResult(vertx.close());
    }

    /** Guards against a stall of one direction that blocks the other or loses or reorders bytes. */
    @Test
    void stall_ofOneDirection_delaysItsBytesInOrder() {
        setMode(LinkProxy.Side.TO_CLIENT, LinkMode.STALL, 0);
        client.write("one");
        await().until(() -> String.join("", receivedByTarget).equals("one"));
        setMode(LinkProxy.Side.TO_CLIENT, LinkMode.DELAY, 200);
        await().until(() -> String.join("", receivedByClient).equals("one"));
        client.write("two");
        await().until(() -> String.join("", receivedByTarget).equals("onetwo"));
        setMode(LinkProxy.Side.TO_CLIENT, LinkMode.PASS, 0);
        client.write("three");
        await().until(() -> String.join("", receivedByClient).equals("onetwothree"));
    }

    /** Guards against a cut that leaves connections open or accepts new ones. */
    @Test
    void cut_ofOneDirection_closesAndRejectsConnectionsUntilPass() {
        setMode(LinkProxy.Side.TO_TARGET, LinkMode.CUT, 0);
        await().untilTrue(clientClosed);
        AtomicBoolean closedAgain = new AtomicBoolean();
        // A Vert.x client attaches its close handler after the connection is established and misses an earlier close.
        Thread reader = new Thread(() -> closedAgain.set(isClosedByPeer()));
        reader.start();
        await().untilTrue(closedAgain);
        assertTrue(receivedByTarget.isEmpty());
        setMode(LinkProxy.Side.BOTH, LinkMode.PASS, 0);
        Futures.awaitResult(
                vertx.createNetClient().connect(proxy.port(), "127.0.0.1").compose(socket -> socket.write("again")));
        await().until(() -> !receivedByTarget.isEmpty());
        assertEquals("again", receivedByTarget.get(0));
    }

    private boolean isClosedByPeer() {
        try (Socket socket = new Socket("127.0.0.1", proxy.port())) {
            return socket.getInputStream().read() < 0;
        } catch (IOException e) {
            // Refused or reset, which is a cut as well.
            return true;
        }
    }

    private void setMode(LinkProxy.Side side, LinkMode mode, long delayMillis) {
        Futures.awaitResult(proxy.setMode(side, mode, delayMillis));
    }
}
