package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.body.RequestBody;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;

/** Client of a backend server with its event loop, for tests of what it makes of responses. Thread-safe. */
final class BackendClientFixture implements AutoCloseable {
    private static final Duration MAX_WAIT = Duration.ofSeconds(5);

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final TimeSource time = new SystemTimeSource();
    private final BackendHttpClient client;

    private final List<ResponseFault> faults = new CopyOnWriteArrayList<>();

    /** Permits each write, and records only the faults of responses. */
    private final class PermissiveObserver implements BackendHttpClient.Observer {
        @Override
        public void onResponseFault(ResponseFault fault) {
            faults.add(fault);
        }

        @Override
        public boolean mayBeWritten() {
            return true;
        }

        @Override
        public void onWrite() {
            // Nothing is recorded.
        }

        @Override
        public void onConnectionRefused() {
            // Nothing is recorded.
        }

        @Override
        public void onSlowdown(double reported) {
            // Nothing is recorded.
        }
    }

    BackendClientFixture(int maxConnections) {
        this(maxConnections, request -> Optional.empty());
    }

    BackendClientFixture(int maxConnections, Function<BackendRequestData, Optional<Route>> routes) {
        this.client = new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, maxConnections, time, routes);
    }

    /** Returns the faults of all responses so far. */
    List<ResponseFault> faults() {
        return List.copyOf(faults);
    }

    Vertx vertx() {
        return vertx;
    }

    /** Sends a request without a body. */
    Future<BackendOutcome> send(String method, String id, Endpoint backend, Duration deadline) {
        return send(method, id, backend, deadline, Buffer.buffer());
    }

    Future<BackendOutcome> send(String method, String id, Endpoint backend, Duration deadline, Buffer body) {
        return send(method, id, backend, deadline, RequestBody.of(body));
    }

    Future<BackendOutcome> send(String method, String id, Endpoint backend, Duration deadline, RequestBody body) {
        BackendRequestData request = new BackendRequestData(
                id,
                new ServiceName("s"),
                OptionalInt.empty(),
                method,
                "/x",
                List.of(),
                body,
                1,
                Deadline.after(time, deadline),
                "caller",
                new BackendProcessId("b", 1),
                false,
                Optional.empty(),
                Deadline.after(time, deadline),
                Duration.ZERO,
                false);
        Promise<BackendOutcome> outcome = Promise.promise();
        Future<Void> neverCancelled = Promise.<Void>promise().future();
        context.runOnContext(run -> client.send(backend, request, neverCancelled, new PermissiveObserver())
                .onComplete(outcome));
        return outcome.future();
    }

    /** Returns the result of a future. */
    static <T> T await(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(MAX_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    @Override
    public void close() {
        vertx.close();
    }
}
