package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.customer.ConfigConfirmation;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.RouteTable;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.ManualTimeSource;
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

    private static final BackendProcessId FIRST_PROCESS = new BackendProcessId("b", 1);
    final Vertx vertx = Vertx.vertx();
    final Context context = vertx.getOrCreateContext();
    final TimeSource time = new SystemTimeSource();
    volatile FleetSnapshot fleet = new FleetSnapshot(
            Optional.of(new FleetConfig(1, new RouteTable(List.of()), Map.of(), ClientLimits.DEFAULT)),
            Set.of(),
            Map.of(),
            Map.of());
    final ManualTimeSource confirmationClock = new ManualTimeSource();
    final ConfigConfirmation confirmation =
            new ConfigConfirmation(confirmationClock, Optional.of(Duration.ofSeconds(5)));
    final ApiKeyCheck keyCheck =
            new ApiKeyCheck(confirmation, () -> fleet.config().map(FleetConfig::customers));
    final CrashGuard crashGuard = new CrashGuard(new DaemonId("d"), time, List::of, (receivers, report) -> {});
    final BackendAdmission admission;
    private final int slots;
    private final Endpoint backend;
    private volatile LocalBackendSnapshot snapshot;

    AdmissionFixture(int slots, Handler<NetSocket> backendConnections) {
        NetServer server = vertx.createNetServer().connectHandler(backendConnections);
        result(server.listen(0, "127.0.0.1"));
        this.slots = slots;
        this.backend = new Endpoint("127.0.0.1", server.actualPort());
        this.snapshot = snapshot(FIRST_PROCESS);
        this.admission = new BackendAdmission(
                time,
                new BackendAdmission.KnownState(new AvailabilityZone("z"), () -> fleet, () -> snapshot, keyCheck),
                new BackendHttpClient(vertx, context, TestHeaderNames.NAMES, 4, time),
                (key, duration) -> {},
                crashGuard,
                new FleetMetrics());
    }

    private LocalBackendSnapshot snapshot(BackendProcessId process) {
        BackendHeartbeat heartbeat =
                new BackendHeartbeat(process, 1, backend, SERVICE, slots, false, Duration.ZERO, List.of(), List.of());
        return new LocalBackendSnapshot(
                Optional.of(LocalBackend.afterHeartbeat(Optional.empty(), heartbeat, time)), List.of(), 0, false);
    }

    private BackendProcessId process() {
        return snapshot.backend().orElseThrow().process();
    }

    /** Replaces the process of the backend server, as its first heartbeat after a restart does. */
    void restartBackend() {
        snapshot = snapshot(new BackendProcessId("b", process().startedMillis() + 1));
    }

    BackendRequestData request(String id) {
        return request(id, "/x");
    }

    BackendRequestData request(String id, String uri) {
        return new BackendRequestData(
                id,
                SERVICE,
                OptionalInt.empty(),
                "GET",
                uri,
                List.of(),
                Buffer.buffer(),
                1,
                Deadline.after(time, Duration.ofSeconds(20)),
                "caller",
                process(),
                false,
                Optional.empty(),
                Deadline.after(time, Duration.ofSeconds(20)),
                Duration.ZERO);
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
