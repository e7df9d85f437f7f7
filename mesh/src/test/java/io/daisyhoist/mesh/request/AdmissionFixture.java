package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.connection.BackendHttpClient;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.TestHeaderNames;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import io.daisyhoist.mesh.version.FleetSnapshot;
import io.daisyhoist.mesh.version.LocalBackendSnapshot;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;

/** Admission control of a backend server on loopback whose connections the test handles. */
final class AdmissionFixture {
    static final ServiceName SERVICE = new ServiceName("s");

    private static final BackendProcessId BACKEND = new BackendProcessId("b", 1);
    final Vertx vertx = Vertx.vertx();
    final Context context = vertx.getOrCreateContext();
    final TimeSource time = new SystemTimeSource();
    volatile FleetSnapshot fleet = new FleetSnapshot(
            Optional.of(new FleetConfig(1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT)),
            Set.of(),
            Map.of(),
            Map.of());
    final BackendAdmission admission;

    AdmissionFixture(int slots, Handler<NetSocket> backendConnections) {
        NetServer server = vertx.createNetServer().connectHandler(backendConnections);
        result(server.listen(0, "127.0.0.1"));
        admission = admission(slots, new Endpoint("127.0.0.1", server.actualPort()));
    }

    private BackendAdmission admission(int slots, Endpoint backend) {
        BackendHeartbeat heartbeat =
                new BackendHeartbeat(BACKEND, 1, backend, SERVICE, slots, false, Duration.ZERO, List.of(), List.of());
        LocalBackendSnapshot snapshot = new LocalBackendSnapshot(
                Optional.of(LocalBackend.afterHeartbeat(Optional.empty(), heartbeat, time)), List.of(), 0, false);
        return new BackendAdmission(
                time,
                new AvailabilityZone("z"),
                () -> fleet,
                () -> snapshot,
                new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, 4, time),
                (key, duration) -> {},
                new FleetMetrics());
    }

    BackendRequestData request(String id) {
        return new BackendRequestData(
                id,
                SERVICE,
                OptionalInt.empty(),
                "GET",
                "/x",
                List.of(),
                Buffer.buffer(),
                1,
                Deadline.after(time, Duration.ofSeconds(20)),
                "caller",
                BACKEND,
                false);
    }

    static <T> T result(Future<T> future) {
        try {
            return future.toCompletionStage().toCompletableFuture().get(5, TimeUnit.SECONDS);
        } catch (Exception e) {
            throw new AssertionError("no result", e);
        }
    }

    void close() {
        vertx.close();
    }
}
