package io.daisyhoist.testkit.process;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import io.daisyhoist.testkit.backend.Execution;
import io.daisyhoist.testkit.check.RequestOutcome;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests operator actions on a cluster under load. */
class OperationTest {
    private static final Set<String> INTERRUPTED_CODES = Set.of("interrupted", "timed-out");
    /** Requests sent up to this long before the stop may still be in flight at the stop. */
    private static final long SEND_TIMEOUT_MICROS = 2_000_000;

    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(25);

    /** Guards against a zone that still receives work after operators took it out, or none after they returned it. */
    @Test
    void zone_outAndIn_stopsWorkInTimeAndReturns() {
        try (LoadedCluster loaded = LoadedCluster.start("zone-out", false)) {
            List<Node> nodesInZone = loaded.cluster().nodes().stream()
                    .filter(node -> node.zone().equals("north"))
                    .toList();
            assertEquals(0, loaded.cluster().runCommand("zone", "out", "north"));
            long zoneOutMicros = LoadedCluster.nowMicros();
            loaded.awaitAllPartitionsServed(zoneOutMicros + 8_000_000);
            long lastExecutionMicros = nodesInZone.stream()
                    .mapToLong(OperationTest::lastStartMicros)
                    .max()
                    .orElseThrow();
            assertEquals(0, loaded.cluster().runCommand("zone", "in", "north"));
            long zoneInMicros = LoadedCluster.nowMicros();
            await("zone serves requests again")
                    .atMost(WAIT_TIMEOUT)
                    .until(() -> nodesInZone.stream().allMatch(node -> lastStartMicros(node) > zoneInMicros));
            loaded.print("zone_serves_again_ms=" + (LoadedCluster.nowMicros() - zoneInMicros) / 1_000);
            loaded.stopLoadAndCheck();
            loaded.assertBound(
                    "zone_out_last_work_ms", Math.max(0, (lastExecutionMicros - zoneOutMicros) / 1_000), 5_000);
        }
    }

    /** Guards against a planned stop that interrupts requests. */
    @Test
    @Tag("known-red")
    void stop_underLoad_interruptsNothing() {
        try (LoadedCluster loaded = LoadedCluster.start("planned-stop", false)) {
            Node leaving = loaded.nodeWithMostPartitions();
            List<Integer> partitions = loaded.cluster().partitionsLastExecutedBy(leaving);
            long stopMicros = LoadedCluster.nowMicros();
            leaving.daemon().signal("TERM");
            assertEquals(0, leaving.daemon().waitForExit(WAIT_TIMEOUT));
            loaded.print("stop_ms=" + (LoadedCluster.nowMicros() - stopMicros) / 1_000);
            loaded.awaitServedByOtherNodes(leaving, partitions, stopMicros);
            loaded.awaitAllPartitionsServed(LoadedCluster.nowMicros());
            List<RequestOutcome> outcomes = loaded.stopLoadAndCheck();
            List<RequestOutcome.Send> interruptedSends = outcomes.stream()
                    .flatMap(outcome -> outcome.sends().stream())
                    .filter(send -> send.sentMicros() >= stopMicros - SEND_TIMEOUT_MICROS)
                    .filter(send -> INTERRUPTED_CODES.contains(send.code())
                            || send.run().equals("unknown"))
                    .toList();
            interruptedSends.forEach(send -> loaded.print("interrupted_send stop_micros=" + stopMicros + " " + send));
            long interrupted = interruptedSends.size();
            long unfinished = leaving.backend().executionLog().entriesSince(0).stream()
                    .filter(execution -> execution.end() != Execution.End.FINISHED)
                    .count();
            loaded.print("interrupted=" + interrupted + " unfinished_runs=" + unfinished + " bound=0");
            assertEquals(0, interrupted + unfinished);
        }
    }

    /** Guards against a push that is applied twice after a lost response, or reaches the daemons too late. */
    @Test
    void configPush_responseLost_appliedOnceAndEverywhereInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("config-push", false)) {
            Cluster cluster = loaded.cluster();
            long previousVersion = configVersion(cluster.nodes().get(0));
            cluster.platform().faults().update(new JsonObject().put("lose_next", 1));
            assertEquals(0, cluster.pushServices(false, 5));
            long pushedMicros = LoadedCluster.nowMicros();
            await("all daemons use the pushed version")
                    .atMost(WAIT_TIMEOUT)
                    .pollInterval(Duration.ofMillis(50))
                    .until(() -> cluster.nodes().stream().allMatch(node -> configVersion(node) == previousVersion + 1));
            long propagationMillis = (LoadedCluster.nowMicros() - pushedMicros) / 1_000;
            loaded.stopLoadAndCheck();
            loaded.assertBound("config_everywhere_ms", propagationMillis, 10_000);
        }
    }

    private static long lastStartMicros(Node node) {
        return node.backend().executionLog().entriesSince(0).stream()
                .mapToLong(Execution::startMicros)
                .max()
                .orElse(0);
    }

    private static long configVersion(Node node) {
        return node.status().getLong("config_version", -1L);
    }
}
