package io.daisyhoist.mesh.process;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import io.daisyhoist.core.customer.CustomerBounds;
import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.keyrange.KeyLeases;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.mesh.store.CountedStore;
import io.daisyhoist.mesh.store.MetadataStore;
import io.daisyhoist.mesh.telemetry.FleetMetrics;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FleetControlTest {
    private static final Endpoint ADDRESS = new Endpoint("10.0.0.1", 1000);
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final BackendProcessId PROCESS = new BackendProcessId("b", 100);

    private final Simulation simulation = new Simulation();
    private final SimulatedStore store = new SimulatedStore(simulation, new Random(1));
    private final SimulatedStore.Client client = store.client();
    private Simulation.Process process;
    private FleetControl control;

    @BeforeEach
    void start() {
        start(client);
    }

    private void start(MetadataStore metadataStore) {
        process = simulation.process();
        FleetBounds bounds = new FleetBounds(
                Duration.ofSeconds(6),
                Duration.ofSeconds(10),
                Duration.ofMillis(870),
                Duration.ofSeconds(1),
                0.2,
                50,
                Duration.ofSeconds(10),
                1.5,
                5,
                CustomerBounds.DEFAULT);
        FleetSettings settings = new FleetSettings(
                new DaemonId("d"),
                new AvailabilityZone("z"),
                SERVICE,
                ADDRESS,
                ADDRESS,
                ADDRESS,
                ADDRESS,
                ADDRESS,
                bounds);
        control = new FleetControl(
                settings,
                simulation.nowNanos(),
                new FleetControl.Dependencies(
                        process,
                        process,
                        metadataStore,
                        new SingleServiceDocuments(),
                        (receivers, message) -> {},
                        new FleetMetrics()));
        control.start();
        simulation.runFor(Duration.ofSeconds(1));
    }

    private void restartAfter(Duration downTime) {
        process.kill();
        simulation.runFor(downTime);
        start();
    }

    private void heartbeat(BackendProcessId sender, long sequence, boolean draining) {
        control.onHeartbeat(heartbeatMessage(sender, sequence, draining));
        simulation.runFor(Duration.ofSeconds(1));
    }

    private static BackendHeartbeat heartbeatMessage(BackendProcessId sender, long sequence, boolean draining) {
        return new BackendHeartbeat(
                sender, sequence, ADDRESS, SERVICE, 6, draining, Duration.ZERO, List.of(), List.of());
    }

    private boolean isLeaving() {
        return control.localBackend().backend().map(LocalBackend::leaving).orElseThrow();
    }

    /**
     * Guards against key leases under a registration that ended before the listing that should confirm it; other daemons count
     * its absence from then on.
     */
    @Test
    void onSynchronized_ownEntryNotListed_confirmsNothing() {
        process.kill();
        simulation.runFor(Duration.ofSeconds(5));
        start(new CountedStore(client, call -> {
            if (call.equals("list")) {
                store.revoke(FleetState.memberKey(new DaemonId("d")));
            }
        }));
        store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
        for (int sequence = 1; sequence <= 5; sequence++) {
            control.onHeartbeat(new BackendHeartbeat(
                    PROCESS,
                    sequence,
                    ADDRESS,
                    SimulatedInstance.SERVICE,
                    6,
                    false,
                    Duration.ZERO,
                    List.of(),
                    List.of()));
            simulation.runFor(Duration.ofMillis(500));
        }
        assertTrue(control.fleet().config().isPresent());
        assertFalse(control.localBackend().mayGrant());
    }

    /** Another writer may send a heartbeat of a service that no configuration has. */
    @Nested
    class HeartbeatOfUnknownService {
        private static final BackendProcessId STRANGER = new BackendProcessId("stranger", 200);

        private final ServiceName unknown = new ServiceName("unknown");

        private CompletableFuture<?> heartbeatOfUnknownService() {
            CompletableFuture<?> reply = control.onHeartbeat(
                    new BackendHeartbeat(STRANGER, 1, ADDRESS, unknown, 6, false, Duration.ZERO, List.of(), List.of()));
            simulation.runFor(Duration.ofSeconds(1));
            return reply;
        }

        private BackendProcessId localProcess() {
            return control.localBackend().backend().orElseThrow().process();
        }

        /** Guards against a backend server that stays out of use for good, because the stranger started later. */
        @Test
        void onHeartbeat_serviceNotConfigured_keepsBackend() {
            store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
            heartbeat(PROCESS, 1, false);
            assertTrue(heartbeatOfUnknownService().isCompletedExceptionally());
            assertEquals(PROCESS, localProcess());
        }

        /** Guards against the same while the daemon does not know a configuration yet. */
        @Test
        void onHeartbeat_configurationReadLater_usesBackendAgain() {
            heartbeatOfUnknownService();
            store.put("operators/config", "1".getBytes(StandardCharsets.UTF_8));
            simulation.runFor(Duration.ofSeconds(1));
            heartbeat(PROCESS, 1, false);
            assertEquals(PROCESS, localProcess());
        }
    }

    /** A heartbeat that was sent before the shutdown notice may arrive after a restart of the daemon. */
    @Nested
    class LateHeartbeatAfterRestart {
        /** Guards against using a backend server again whose shutdown an earlier process has acknowledged. */
        @Test
        void onHeartbeat_processHasLeft_staysLeaving() {
            heartbeat(PROCESS, 5, false);
            control.onLeaving(PROCESS.id(), OptionalLong.of(PROCESS.startedMillis()));
            simulation.runFor(Duration.ofSeconds(1));
            restartAfter(Duration.ofSeconds(5));
            heartbeat(PROCESS, 4, false);
            assertTrue(isLeaving());
        }

        @Test
        void onHeartbeat_processWasDraining_staysLeaving() {
            heartbeat(PROCESS, 5, true);
            restartAfter(Duration.ofSeconds(5));
            heartbeat(PROCESS, 4, false);
            assertTrue(isLeaving());
        }

        /** Guards against acknowledging a departure that is lost with the daemon, because it is not in the store yet. */
        @Test
        void onHeartbeat_daemonEndedRightAfterAcknowledgedDeparture_staysLeaving() {
            heartbeat(PROCESS, 5, false);
            killWhenDone(control.onLeaving(PROCESS.id(), OptionalLong.of(PROCESS.startedMillis())));
            heartbeat(PROCESS, 4, false);
            assertTrue(isLeaving());
        }

        /** Guards against the same for a shutdown that a heartbeat announces. */
        @Test
        void onHeartbeat_daemonEndedRightAfterAcknowledgedDraining_staysLeaving() {
            heartbeat(PROCESS, 5, false);
            killWhenDone(control.onHeartbeat(heartbeatMessage(PROCESS, 6, true)));
            heartbeat(PROCESS, 4, false);
            assertTrue(isLeaving());
        }

        /** Guards against acknowledging a departure that cannot be recorded, and against using the backend server meanwhile. */
        @Test
        void onLeaving_storeDown_isAppliedAndAcknowledgedWhenRecorded() {
            heartbeat(PROCESS, 5, false);
            store.setDown(true, true);
            CompletableFuture<Void> acknowledged = control.onLeaving(PROCESS.id(), OptionalLong.empty());
            CompletableFuture<Optional<KeyLeases.Reply>> laterHeartbeat =
                    control.onHeartbeat(heartbeatMessage(PROCESS, 6, true));
            simulation.runFor(Duration.ofSeconds(4));
            assertTrue(isLeaving());
            assertFalse(acknowledged.isDone());
            assertFalse(laterHeartbeat.isDone());
            store.setDown(false, false);
            simulation.runFor(Duration.ofSeconds(3));
            assertTrue(acknowledged.isDone());
            assertTrue(laterHeartbeat.isDone());
        }

        /** Guards against acknowledging the departure of a process that cannot be told from its successor. */
        @Test
        void onLeaving_unknownProcessWithoutStartTime_isNotAcknowledged() {
            CompletableFuture<Void> acknowledged = control.onLeaving(PROCESS.id(), OptionalLong.empty());
            simulation.runFor(Duration.ofSeconds(2));
            assertTrue(acknowledged.isCompletedExceptionally());
        }

        private void killWhenDone(CompletableFuture<?> acknowledgement) {
            acknowledgement.thenRun(() -> {
                process.kill();
                client.setDisconnected(true);
            });
            simulation.runFor(Duration.ofSeconds(5));
            assertTrue(process.isKilled());
            client.setDisconnected(false);
            start();
        }

        /** Guards against a shutdown notice that is lost because the store did not respond when it arrived. */
        @Test
        void onHeartbeat_storeWasDownDuringTheNotice_staysLeaving() {
            heartbeat(PROCESS, 5, false);
            store.setDown(true, true);
            control.onLeaving(PROCESS.id(), OptionalLong.empty());
            simulation.runFor(Duration.ofSeconds(4));
            store.setDown(false, false);
            simulation.runFor(Duration.ofSeconds(3));
            restartAfter(Duration.ofSeconds(5));
            heartbeat(PROCESS, 4, false);
            assertTrue(isLeaving());
        }

        /** Guards against keeping the next process out of use. */
        @Test
        void onHeartbeat_nextProcess_isUsed() {
            heartbeat(PROCESS, 5, true);
            restartAfter(Duration.ofSeconds(5));
            heartbeat(new BackendProcessId("b", 200), 1, false);
            assertFalse(isLeaving());
        }

        /** Guards against keeping a backend server out of use that only its daemon's planned stop took out. */
        @Test
        void onHeartbeat_onlyTheDaemonWasStopped_isUsed() {
            heartbeat(PROCESS, 5, false);
            control.stopAccepting();
            simulation.runFor(Duration.ofSeconds(1));
            restartAfter(Duration.ofSeconds(1));
            heartbeat(PROCESS, 6, false);
            assertFalse(isLeaving());
        }

        /** Guards against using it while its departure has not been read yet. */
        @Test
        void onHeartbeat_departureIsReadLater_becomesLeaving() {
            heartbeat(PROCESS, 5, true);
            client.setDisconnected(true);
            restartAfter(Duration.ofSeconds(2));
            heartbeat(PROCESS, 4, false);
            client.setDisconnected(false);
            simulation.runFor(Duration.ofSeconds(5));
            assertTrue(isLeaving());
        }
    }
}
