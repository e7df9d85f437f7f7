package io.daisyhoist.mesh.process;

import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.mesh.connection.TestHeaderNames;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestPathTrainingTest {
    private final Vertx vertx = Vertx.vertx();
    private final EventLoopGroup peerLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void close() {
        vertx.close();
        peerLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    /** Guards against a class archive without the request path, which makes the first seconds after a start slow. */
    @Test
    void run_allRequests_areServed() throws Exception {
        Context context = vertx.getOrCreateContext();
        Promise<Void> done = Promise.promise();
        context.runOnContext(
                run -> new RequestPathTraining(vertx, context, new SystemTimeSource(), TestHeaderNames.NAMES, peerLoops)
                        .run()
                        .onComplete(done));
        done.future().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
    }
}
