package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.retry.LossReport;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.core.time.SystemTimeSource;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.mesh.body.RequestBody;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.daisyhoist.mesh.connection.BackendRequestData;
import io.daisyhoist.mesh.connection.CrashReportCodec;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class CrashGuardTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final BackendOutcome LOST = new Unknown(UnknownReason.CONNECTION_LOST);
    private static final BackendOutcome ANSWERED = new BackendOutcome.Answered(200, List.of(), Buffer.buffer());

    private final TimeSource time = new SystemTimeSource();
    private final List<Instance> instances = new ArrayList<>();
    private final Set<DaemonId> unreachable = new HashSet<>();

    /** Daemon with a backend server that a crashing request ends; restarts of both are immediate. */
    private final class Instance {
        private final DaemonId daemon;
        private CrashGuard guard;
        private long process = 1;
        private int crashes;

        private Instance(int index) {
            daemon = new DaemonId("d" + index);
            restartDaemon();
        }

        private void restartDaemon() {
            guard = new CrashGuard(daemon, time, this::peers, this::report);
            guard.onProcess(new BackendProcessId("b", process));
        }

        private List<FleetMember> peers() {
            return instances.stream()
                    .filter(other -> other != this)
                    .map(Instance::member)
                    .toList();
        }

        private FleetMember member() {
            return new FleetMember(daemon, 1, new AvailabilityZone("z"), daemon.name(), 1, SERVICE, Optional.empty());
        }

        private void report(List<FleetMember> receivers, LossReport report) {
            LossReport received =
                    CrashReportCodec.decode(CrashReportCodec.encode(report).getCrashReport());
            instances.stream()
                    .filter(other -> receivers.contains(other.member()))
                    .filter(other -> !unreachable.contains(other.daemon))
                    .forEach(other -> other.guard.onReport(received));
        }

        /** Sends a request that crashes the backend server, beside requests that are in flight at that time. */
        private boolean crash(String... others) {
            BackendRequestData crashing = request("/crash");
            if (guard.mustRefuse(crashing)) {
                return false;
            }
            List<BackendRequestData> requests = new ArrayList<>(List.of(crashing));
            for (String other : others) {
                requests.add(request(other));
            }
            requests.forEach(guard::onSent);
            requests.forEach(lost -> guard.onOutcome(lost, LOST));
            crashes++;
            process++;
            guard.onProcess(new BackendProcessId("b", process));
            return true;
        }

        private void run(String uri) {
            BackendRequestData request = request(uri);
            guard.onSent(request);
            guard.onOutcome(request, ANSWERED);
        }
    }

    private BackendRequestData request(String uri) {
        return new BackendRequestData(
                "id",
                SERVICE,
                OptionalInt.empty(),
                "GET",
                uri,
                List.of(),
                RequestBody.of(Buffer.buffer("body")),
                1,
                Deadline.after(time, Duration.ofSeconds(1)),
                "caller",
                new BackendProcessId("b", 1),
                false,
                Optional.empty(),
                Deadline.after(time, Duration.ofSeconds(1)),
                Duration.ZERO,
                false);
    }

    private void start(int count) {
        for (int i = 0; i < count; i++) {
            instances.add(new Instance(i));
        }
    }

    private int crashes() {
        return instances.stream().mapToInt(instance -> instance.crashes).sum();
    }

    @Nested
    class CrashingRequest {
        /** Guards against a request that crashes one backend server after the other. */
        @Test
        void crashingRequest_reachesAtMostThreeBackends() {
            start(8);
            instances.forEach(instance -> instance.crash("/other" + instance.daemon));
            assertEquals(3, crashes());
        }

        /** Guards against a daemon that has forgotten the losses with its restart. */
        @Test
        void restartedDaemon_learnsOfLossesFromOthers() {
            start(4);
            instances.forEach(instance -> instance.crash("/other" + instance.daemon));
            instances.get(0).restartDaemon();
            for (int i = 0; i < 4; i++) {
                instances.forEach(instance -> instance.guard.repeatReports());
            }
            assertFalse(instances.get(0).crash());
        }

        /** Guards against a daemon that never learns of losses because the messages about them were lost. */
        @Test
        void lostReports_areRepeated() {
            start(4);
            unreachable.add(instances.get(3).daemon);
            instances.subList(0, 3).forEach(instance -> instance.crash("/other" + instance.daemon));
            unreachable.clear();
            for (int i = 0; i < 4; i++) {
                instances.forEach(instance -> instance.guard.repeatReports());
            }
            assertFalse(instances.get(3).crash());
        }

        /** Guards against losses that count only after the backend server is back. */
        @Test
        void refusedConnection_confirmsLoss() {
            start(2);
            CrashGuard guard = instances.get(0).guard;
            BackendRequestData crashing = request("/crash");
            guard.onSent(crashing);
            guard.onOutcome(crashing, LOST);
            guard.onConnectionRefused();
            instances.get(1).crash();
            assertTrue(guard.mustRefuse(crashing));
        }

        /** Guards against counting a connection that was reset by a backend server that continues to run. */
        @Test
        void lostConnections_withoutLossOfBackend_doNotCount() {
            start(1);
            CrashGuard guard = instances.get(0).guard;
            for (int i = 0; i < 10; i++) {
                BackendRequestData request = request("/x");
                guard.onSent(request);
                guard.onOutcome(request, LOST);
            }
            assertFalse(guard.mustRefuse(request("/x")));
        }
    }

    @Nested
    class HarmlessRequests {
        /** Guards against refusing a frequent request that is in flight at each crash and completes in between. */
        @Test
        void frequentRequest_isNeverRefused() {
            start(6);
            Random random = new Random(1);
            for (int i = 0; i < 200; i++) {
                Instance instance = instances.get(random.nextInt(6));
                instance.process++;
                BackendRequestData frequent = request("/frequent");
                instance.guard.onSent(frequent);
                instance.guard.onOutcome(frequent, LOST);
                instance.guard.onProcess(new BackendProcessId("b", instance.process));
                instances.get(random.nextInt(6)).run("/frequent");
                instances.forEach(each -> assertFalse(each.guard.mustRefuse(frequent)));
            }
        }

        /** Guards against a daemon that goes on refusing a request because the message about its completion was lost. */
        @Test
        void lostCompletion_isRepeated() {
            start(4);
            instances.subList(0, 3).forEach(instance -> instance.crash("/harmless"));
            unreachable.add(instances.get(3).daemon);
            instances.get(0).run("/harmless");
            assertTrue(instances.get(3).guard.mustRefuse(request("/harmless")));
            unreachable.clear();
            for (int i = 0; i < 4; i++) {
                instances.forEach(instance -> instance.guard.repeatReports());
            }
            assertFalse(instances.get(3).guard.mustRefuse(request("/harmless")));
            assertTrue(instances.get(3).guard.mustRefuse(request("/crash")));
        }
    }
}
