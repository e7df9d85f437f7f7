package io.daisyhoist.testkit.process;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.check.RequestOutcome;
import io.daisyhoist.testkit.link.LinkMode;
import io.daisyhoist.testkit.link.LinkProxy;
import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

/** Tests platform outages: owners continue to serve, and failover resumes afterwards. */
class PlatformOutageTest {
    /** Longer than the lease and than three announcement intervals, so that a dependency on the platform would show. */
    private static final Duration OUTAGE_DURATION = Duration.ofSeconds(6);

    /** Guards against an owner that stops serving because it alone cannot reach the platform. */
    @Tag("known-red")
    @Test
    void cut_ofOneDaemonFromPlatform_continuesServing() {
        try (LoadedCluster loaded = LoadedCluster.start("platform-cut", false)) {
            Node isolated = loaded.nodeWithMostPartitions();
            List<Integer> partitions = loaded.cluster().partitionsLastExecutedBy(isolated);
            long cutMicros = LoadedCluster.nowMicros();
            Futures.awaitResult(isolated.platformLink().setMode(LinkProxy.Side.BOTH, LinkMode.CUT, 0));
            awaitExecutionsOn(isolated, partitions, cutMicros + OUTAGE_DURATION.toMillis() * 1_000);
            Futures.awaitResult(isolated.platformLink().setMode(LinkProxy.Side.BOTH, LinkMode.PASS, 0));
            assertNothingRefused(loaded, loaded.stopLoadAndCheck());
        }
    }

    /** Guards against owners that stop serving during an outage, and against failover that does not resume after it. */
    @Tag("known-red")
    @Test
    void outage_ofPlatform_ownersContinueAndFailoverResumes() {
        try (LoadedCluster loaded = LoadedCluster.start("platform-down", false)) {
            Cluster cluster = loaded.cluster();
            long outageStartMicros = LoadedCluster.nowMicros();
            cluster.platform().faults().update(new JsonObject().put("availability", "closed"));
            loaded.awaitAllPartitionsServed(outageStartMicros + OUTAGE_DURATION.toMillis() * 1_000);
            Node killed = loaded.nodeWithMostPartitions();
            List<Integer> partitions = cluster.partitionsLastExecutedBy(killed);
            killed.daemon().signal("KILL");
            long killedMicros = LoadedCluster.nowMicros();
            await("lease of the killed owner expired")
                    .atMost(Duration.ofSeconds(20))
                    .until(() -> LoadedCluster.nowMicros() - killedMicros > 4_000_000);
            assertEquals(
                    List.of(),
                    partitions.stream()
                            .filter(cluster.firstExecutionsOnOtherNodes(killed, killedMicros)::containsKey)
                            .toList(),
                    "no owner may change without the platform");
            long outageEndMicros = LoadedCluster.nowMicros();
            cluster.platform().faults().update(new JsonObject().put("availability", "up"));
            long failoverMillis = loaded.awaitServedByOtherNodes(killed, partitions, outageEndMicros);
            loaded.stopLoadAndCheck();
            loaded.assertBound("served_again_after_outage_ms", failoverMillis, 4_000);
        }
    }

    private static void awaitExecutionsOn(Node node, List<Integer> partitions, long sinceMicros) {
        await("partitions " + partitions + " still served by " + node.name())
                .atMost(Duration.ofSeconds(20))
                .until(() -> node.backend().executionLog().entriesSince(0).stream()
                        .filter(execution -> execution.startMicros() >= sinceMicros)
                        .map(execution -> execution.partition())
                        .toList()
                        .containsAll(partitions));
    }

    private static void assertNothingRefused(LoadedCluster loaded, List<RequestOutcome> outcomes) {
        long refused =
                outcomes.stream().filter(outcome -> !outcome.isAnswered()).count();
        loaded.print("refused=" + refused + " of=" + outcomes.size());
        assertEquals(0, refused);
    }
}
