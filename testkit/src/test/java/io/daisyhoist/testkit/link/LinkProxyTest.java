package io.daisyhoist.testkit.link;

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
    private final List<String> atTarget = new CopyOnWriteArrayList<>();
    private final List<String> atClient = new CopyOnWriteArrayList<>();
    private final AtomicBoolean clientClosed = new AtomicBoolean();
    private Vertx vertx;
    private LinkProxy proxy;
    private NetSocket client;

    @BeforeEach
    void connect() {
        vertx = Vertx.vertx();
        NetServer target = Futures.result(vertx.createNetServer()
                .connectHandler(socket -> socket.handler(bytes -> {
                    atTarget.add(bytes.toString());
                    socket.write(bytes);
                }))
                .listen(0, "127.0.0.1"));
        proxy = Futures.result(LinkProxy.start(vertx, "127.0.0.1", 0, "127.0.0.1", target.actualPort()));
        client = Futures.result(vertx.createNetClient().connect(proxy.port(), "127.0.0.1"));
        client.handler(bytes -> atClient.add(bytes.toString()));
        client.closeHandler(closed -> clientClosed.set(true));
    }

    @AfterEach
    void stop() {
        Futures.result(vertx.close());
    }

    /** Guards against a one-way stall that stops the other direction or loses or reorders bytes. */
    @Test
    void stall_ofOneDirection_holdsItsBytesInOrder() {
        set(LinkProxy.Side.TO_CLIENT, LinkMode.STALL, 0);
        client.write("one");
        await().until(() -> String.join("", atTarget).equals("one"));
        set(LinkProxy.Side.TO_CLIENT, LinkMode.DELAY, 200);
        await().until(() -> String.join("", atClient).equals("one"));
        client.write("two");
        await().until(() -> String.join("", atTarget).equals("onetwo"));
        set(LinkProxy.Side.TO_CLIENT, LinkMode.PASS, 0);
        client.write("three");
        await().until(() -> String.join("", atClient).equals("onetwothree"));
    }

    /** Guards against a cut that leaves connections open or admits new ones. */
    @Test
    void cut_ofOneDirection_closesAndRefusesUntilPass() {
        set(LinkProxy.Side.TO_TARGET, LinkMode.CUT, 0);
        await().untilTrue(clientClosed);
        AtomicBoolean closedAgain = new AtomicBoolean();
        vertx.createNetClient()
                .connect(proxy.port(), "127.0.0.1")
                .onSuccess(socket -> socket.closeHandler(closed -> closedAgain.set(true)))
                .onFailure(refused -> closedAgain.set(true));
        await().untilTrue(closedAgain);
        assertTrue(atTarget.isEmpty());
        set(LinkProxy.Side.BOTH, LinkMode.PASS, 0);
        Futures.result(
                vertx.createNetClient().connect(proxy.port(), "127.0.0.1").compose(socket -> socket.write("again")));
        await().until(() -> !atTarget.isEmpty());
        assertEquals("again", atTarget.get(0));
    }

    private void set(LinkProxy.Side side, LinkMode mode, long delayMillis) {
        Futures.result(proxy.set(side, mode, delayMillis));
    }
}
