package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.daisyhoist.core.memory.MemoryBudget;
import io.daisyhoist.core.memory.MemoryUse;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.ForwardRequest;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import io.vertx.core.Promise;
import io.vertx.core.net.NetSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Tests against a backend server that reads requests and never responds. */
class ForwardReceiverTest {
    private static final ProcessId SENDER = new ProcessId(new DaemonId("sender"), 1);

    private final List<NetSocket> started = new CopyOnWriteArrayList<>();
    private final List<NetSocket> interrupted = new CopyOnWriteArrayList<>();
    private final MemoryBudget memory = new MemoryBudget(1 << 20);
    private final Connection connection = new Connection();
    private final AdmissionFixture fixture = new AdmissionFixture(6, this::onBackendConnection);
    private boolean idempotent = true;
    private final ForwardReceiver receiver = new ForwardReceiver(
            fixture.context,
            fixture.admission,
            fixture.crashGuard,
            fixture.time,
            new NoControlMessages(),
            request -> idempotent,
            memory);

    /** Connection to the sender that can be closed. */
    private static final class Connection implements PeerReply {
        private final List<Envelope> replies = new CopyOnWriteArrayList<>();
        private volatile boolean open = true;

        @Override
        public void accept(Envelope reply) {
            replies.add(reply);
        }

        @Override
        public boolean isDeliverable() {
            return open;
        }
    }

    static final class NoControlMessages implements ForwardReceiver.PeerMessageListener {
        @Override
        public void onLoad(FleetLoad load) {
            throw new AssertionError("not sent by this test");
        }

        @Override
        public void onStoreChanges(StoreChanges changes) {
            throw new AssertionError("not sent by this test");
        }

        @Override
        public void onOperatorItems(OperatorItems items) {
            throw new AssertionError("not sent by this test");
        }
    }

    private void onBackendConnection(NetSocket socket) {
        socket.handler(request -> started.add(socket));
        socket.closeHandler(closed -> interrupted.add(socket));
    }

    @AfterEach
    void close() {
        fixture.close();
    }

    private void forward(String id) {
        receiver.handle(SENDER, ForwardCodec.encode(fixture.request(id), Duration.ZERO, fixture.time), connection);
    }

    private void disconnect() {
        connection.open = false;
        receiver.onDisconnected(SENDER);
    }

    private void awaitTrafficLoop() {
        Promise<Void> done = Promise.promise();
        fixture.context.runOnContext(run -> done.complete());
        AdmissionFixture.result(done.future());
    }

    /** Guards against work that continues until its deadline although its response cannot be delivered. */
    @Test
    void onDisconnected_idempotentRequestRunning_isInterrupted() {
        forward("1");
        await().until(() -> started.size() == 1);
        disconnect();
        await().untilAsserted(() -> assertEquals(1, interrupted.size()));
    }

    /** Guards against starting requests that were read together with the end of their connection. */
    @Test
    void handle_connectionClosedBeforeStart_isNotStarted() {
        fixture.context.runOnContext(run -> {
            forward("1");
            disconnect();
        });
        awaitTrafficLoop();
        awaitTrafficLoop();
        connection.open = true;
        forward("2");
        await().until(() -> !started.isEmpty());
        assertEquals(1, started.size());
    }

    /** Guards against interrupting a request that must not be repeated and may have taken effect in part. */
    @Test
    void onDisconnected_nonIdempotentRequestRunning_continues() {
        idempotent = false;
        forward("1");
        await().until(() -> started.size() == 1);
        disconnect();
        awaitTrafficLoop();
        awaitTrafficLoop();
        await().during(Duration.ofMillis(200)).until(interrupted::isEmpty);
    }

    /** Guards against many daemons that forward more requests than the memory of one holds. */
    @Test
    void handle_noMemory_isRefusedAsNotRunUntilOthersEnd() {
        MemoryBudget.Reservation others = memory.open(MemoryUse.RESPONSE);
        others.growAlways(memory.maxBytes());
        forward("1");
        await().until(() -> connection.replies.size() == 1);
        BackendOutcome outcome = ForwardCodec.decode(connection.replies.get(0).getForwardResponse());
        assertEquals(
                BackendOutcome.NotRunReason.OVERLOADED,
                assertInstanceOf(BackendOutcome.NotRun.class, outcome).reason());
        others.release();
        forward("2");
        await().until(() -> started.size() == 1);
    }

    /** Guards against a sender that waits until its deadline, and does not know whether its damaged request runs. */
    @Test
    void handle_damagedRequest_isRefusedAsNotRun() {
        Envelope sound = ForwardCodec.encode(fixture.request("1"), Duration.ZERO, fixture.time);
        List<ForwardRequest> damaged = List.of(
                ForwardRequest.getDefaultInstance(),
                sound.getForwardRequest().toBuilder().setRank("-2").build(),
                sound.getForwardRequest().toBuilder().setRank("high").build(),
                sound.getForwardRequest().toBuilder().setKey("k").build(),
                sound.getForwardRequest().toBuilder().setService("no name").build(),
                sound.getForwardRequest().toBuilder().clearExpectedBackend().build(),
                sound.getForwardRequest().toBuilder().setRemainingDeadlineMs(-5).build());
        damaged.forEach(request -> receiver.handle(
                SENDER, sound.toBuilder().setForwardRequest(request).build(), connection));
        await().until(() -> connection.replies.size() == damaged.size());
        connection.replies.forEach(reply -> assertEquals(
                new BackendOutcome.NotRun(BackendOutcome.NotRunReason.INVALID, false, Duration.ZERO),
                ForwardCodec.decode(reply.getForwardResponse())));
    }
}
