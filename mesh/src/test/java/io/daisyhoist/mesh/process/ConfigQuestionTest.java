package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ProcessId;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.PeerChannel;
import io.daisyhoist.daemon.connection.PeerClient;
import io.daisyhoist.daemon.connection.PeerIdentity;
import io.daisyhoist.daemon.connection.PeerLimits;
import io.daisyhoist.daemon.connection.PeerReply;
import io.daisyhoist.daemon.connection.PeerServer;
import io.daisyhoist.mesh.request.CrashGuard;
import io.daisyhoist.mesh.request.ForwardReceiver;
import io.daisyhoist.wire.proto.ConfigFetch;
import io.daisyhoist.wire.proto.Envelope;
import io.daisyhoist.wire.proto.FleetLoad;
import io.daisyhoist.wire.proto.OperatorItems;
import io.daisyhoist.wire.proto.StoreChanges;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** The question whether a configuration is the newest one, over a peer connection on loopback. */
class ConfigQuestionTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final TimeSource time = new SystemTimeSource();
    private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    private static final class Answering implements ForwardReceiver.PeerMessageListener {
        @Override
        public void onLoad(FleetLoad load) {
            throw new AssertionError("not sent by this test");
        }

        @Override
        public void onOperatorItems(OperatorItems items) {
            throw new AssertionError("not sent by this test");
        }

        @Override
        public void onStoreChanges(StoreChanges changes) {
            throw new AssertionError("not sent by this test");
        }

        @Override
        public void onConfigQuestion(ConfigFetch question, PeerReply reply) {
            reply.accept(Envelope.newBuilder()
                    .setFleetLoad(FleetLoad.newBuilder().setConfigVersion(question.getKnownVersion() + 1))
                    .build());
        }
    }

    private static PeerIdentity identity(String daemon) {
        return new PeerIdentity("test", new ProcessId(new DaemonId(daemon), 1));
    }

    @AfterEach
    void close() {
        loops.shutdownGracefully();
        vertx.close();
    }

    /** Guards against a question that is taken for a one-way message, whose answer is then lost. */
    @Test
    void call_question_getsTheAnswer() throws Exception {
        ForwardReceiver receiver = new ForwardReceiver(
                vertx.getOrCreateContext(),
                null,
                new CrashGuard(new DaemonId("d"), time, List::of, (receivers, report) -> {}),
                time,
                new Answering(),
                request -> true);
        PeerServer server = new PeerServer(loops, identity("watcher"), PeerLimits.DEFAULT, receiver);
        Endpoint address = server.listen("127.0.0.1", 0).toCompletableFuture().get(5, TimeUnit.SECONDS);
        PeerClient client =
                new PeerClient(loops, identity("follower"), PeerLimits.DEFAULT, ThreadLocalRandom.current());
        Envelope question = Envelope.newBuilder()
                .setConfigFetch(ConfigFetch.newBuilder().setKnownVersion(7))
                .build();
        CompletableFuture<Envelope> answer = client.call(address, PeerChannel.TRAFFIC, question, TIMEOUT);
        assertEquals(8, answer.get(5, TimeUnit.SECONDS).getFleetLoad().getConfigVersion());
        client.close();
        server.close();
    }
}
