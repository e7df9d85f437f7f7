package io.daisyhoist.testkit.process;

import java.time.Duration;
import java.util.List;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import static org.awaitility.Awaitility.await;

/** Loss of an owner: another serves its partitions within the bound, and nothing runs twice or under two owners. */
class OwnerLossTest {
    private static final long SERVED_AGAIN_MILLIS = 4_000;

    /** Guards against a failover that takes too long or repeats requests of the lost owner. */
    @Test
    void kill_ofOwner_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill", false)) {
            long gapMillis = loseOwner(loaded, loaded.someOwner(), "KILL");
            loaded.endAndCheck();
            loaded.assertBound("served_again_ms", gapMillis, SERVED_AGAIN_MILLIS);
        }
    }

    /** Guards against a frozen owner that resumes as if nothing had happened. */
    @Test
    @Tag("known-red")
    void freeze_ofOwnerAndReturn_servedAgainAndNeverTwice() {
        try (LoadedCluster loaded = LoadedCluster.start("freeze", true)) {
            Node frozen = loaded.someOwner();
            long gapMillis = loseOwner(loaded, frozen, "STOP");
            frozen.daemon().signal("CONT");
            long resumedMicros = LoadedCluster.nowMicros();
            await("rejoined").atMost(Duration.ofSeconds(20)).until(frozen::isReady);
            loaded.awaitAllServedSince(resumedMicros);
            loaded.endAndCheck();
            loaded.assertBound("served_again_ms", gapMillis, SERVED_AGAIN_MILLIS);
        }
    }

    /** Guards against a failover that breaks when each platform write is slow. */
    @Test
    void kill_whilePlatformIsSlow_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill-slow-platform", false)) {
            loaded.cluster().platform().faults().update(new JsonObject().put("delay_ms", 300));
            long gapMillis = loseOwner(loaded, loaded.someOwner(), "KILL");
            loaded.endAndCheck();
            loaded.assertBound("served_again_ms", gapMillis, SERVED_AGAIN_MILLIS);
        }
    }

    /** Guards against a failover that mistakes a write whose response was lost for a failed one. */
    @Test
    void kill_whileResponsesAreLost_servedAgainInTime() {
        try (LoadedCluster loaded = LoadedCluster.start("kill-lost-responses", false)) {
            loaded.cluster().platform().faults().update(new JsonObject().put("lose_next", 2));
            long gapMillis = loseOwner(loaded, loaded.someOwner(), "KILL");
            loaded.endAndCheck();
            loaded.assertBound("served_again_ms", gapMillis, SERVED_AGAIN_MILLIS);
        }
    }

    private static long loseOwner(LoadedCluster loaded, Node owner, String signal) {
        List<Integer> partitions = loaded.cluster().partitionsOf(owner);
        long lostMicros = LoadedCluster.nowMicros();
        owner.daemon().signal(signal);
        return loaded.awaitServedElsewhere(owner, partitions, lostMicros);
    }
}
