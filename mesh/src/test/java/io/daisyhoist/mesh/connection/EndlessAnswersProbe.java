package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.body.RequestBody;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/** Process that sends requests, all at once, to a backend server with endless answers; see {@link EndlessAnswersTest}. */
final class EndlessAnswersProbe {
    private EndlessAnswersProbe() {}

    public static void main(String[] args) throws InterruptedException {
        int concurrent = Integer.parseInt(args[0]);
        Endpoint backend = new Endpoint("127.0.0.1", Integer.parseInt(args[1]));
        Vertx vertx = Vertx.vertx();
        Context context = vertx.getOrCreateContext();
        TimeSource time = new SystemTimeSource();
        BackendHttpClient client = new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, concurrent, time);
        CountDownLatch ended = new CountDownLatch(4 * concurrent);
        context.runOnContext(run -> {
            for (int i = 0; i < 4 * concurrent; i++) {
                client.send(backend, request(time), Promise.<Void>promise().future(), new PermissiveObserver())
                        .onComplete(outcome -> ended.countDown());
            }
        });
        boolean allEnded = ended.await(30, TimeUnit.SECONDS);
        Runtime.getRuntime().halt(allEnded ? 0 : 1);
    }

    private static BackendRequestData request(TimeSource time) {
        return new BackendRequestData(
                "id-1",
                new ServiceName("s"),
                OptionalInt.empty(),
                "GET",
                "/x",
                List.of(),
                RequestBody.of(Buffer.buffer()),
                1,
                Deadline.after(time, Duration.ofSeconds(20)),
                "caller",
                new BackendProcessId("b", 1),
                false,
                Optional.empty(),
                Deadline.after(time, Duration.ofSeconds(20)),
                Duration.ZERO,
                false);
    }

    private static final class PermissiveObserver implements BackendHttpClient.Observer {
        @Override
        public boolean mayBeWritten() {
            return true;
        }

        @Override
        public void onWrite() {}

        @Override
        public void onConnectionRefused() {}

        @Override
        public void onSlowdown(double slowdown) {}
    }
}
