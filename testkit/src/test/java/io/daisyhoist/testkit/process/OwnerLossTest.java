package io.daisyhoist.testkit.process;

import java.time.Duration;
import java.util.List;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;

/** Tests the loss of an owner: others serve its partitions within the bound, with no duplicate execution or owner. */
class OwnerLossTest {
    private static final long MAX_FAILOVER_MILLIS = 4_000;

    /** Guards against a failover that takes too long or repeats requests of the failed owner. */
    @Test
    void kill_ofOwner_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill", false)) {
            long failoverMillis = measureFailover(loaded, loaded.nodeWithMostPartitions(), "KILL");
            loaded.stopLoadAndCheck();
            loaded.assertBound("served_again_ms", failoverMillis, MAX_FAILOVER_MILLIS);
        }
    }

    /** Guards against a suspended owner that continues to serve its former partitions when it resumes. */
    @Test
    @Tag("known-red")
    void freeze_ofOwnerAndReturn_servedAgainAndNeverTwice() {
        try (LoadedCluster loaded = LoadedCluster.start("freeze", true)) {
            Node suspended = loaded.nodeWithMostPartitions();
            long failoverMillis = measureFailover(loaded, suspended, "STOP");
            suspended.daemon().signal("CONT");
            long resumedMicros = LoadedCluster.nowMicros();
            await("rejoined").atMost(Duration.ofSeconds(20)).until(suspended::isReady);
            loaded.awaitAllPartitionsServed(resumedMicros);
            loaded.stopLoadAndCheck();
            loaded.assertBound("served_again_ms", failoverMillis, MAX_FAILOVER_MILLIS);
        }
    }

    /** Guards against a failover that fails when platform calls are slow. */
    @Test
    void kill_whilePlatformIsSlow_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill-slow-platform", false)) {
            loaded.cluster().platform().faults().update(new JsonObject().put("delay_ms", 300));
            long failoverMillis = measureFailover(loaded, loaded.nodeWithMostPartitions(), "KILL");
            loaded.stopLoadAndCheck();
            loaded.assertBound("served_again_ms", failoverMillis, MAX_FAILOVER_MILLIS);
        }
    }

    /** Guards against a failover that treats a write whose response was lost as failed. */
    @Test
    void kill_whileResponsesAreLost_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill-lost-responses", false)) {
            loaded.cluster().platform().faults().update(new JsonObject().put("lose_next", 2));
            long failoverMillis = measureFailover(loaded, loaded.nodeWithMostPartitions(), "KILL");
            loaded.stopLoadAndCheck();
            loaded.assertBound("served_again_ms", failoverMillis, MAX_FAILOVER_MILLIS);
        }
    }

    private static long measureFailover(LoadedCluster loaded, Node owner, String signal) {
        List<Integer> partitions = loaded.cluster().partitionsLastExecutedBy(owner);
        long lostMicros = LoadedCluster.nowMicros();
        owner.daemon().signal(signal);
        return loaded.awaitServedByOtherNodes(owner, partitions, lostMicros);
    }
}
