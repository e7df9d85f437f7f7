package io.daisyhoist.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.check.CheckMain;
import io.daisyhoist.testkit.check.CheckReport;
import io.daisyhoist.testkit.check.ExecutionCheck;
import io.daisyhoist.testkit.check.RequestOutcome;
import io.daisyhoist.testkit.load.LoadClient;
import io.vertx.core.json.JsonObject;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * A cluster under load, with the steps that the process tests share. Its files stay in {@code target/process-tests} for
 * the study of a failure. Confined to the test's thread.
 */
final class LoadedCluster implements AutoCloseable {
    /** Longest wait for a condition; longer than each bound, so that a miss is measured and not only noticed. */
    private static final Duration WAIT = Duration.ofSeconds(20);

    /** At 120 requests per second this is a mean latency of 200 ms. */
    private static final int STEADY_PENDING = 24;

    private final String test;
    private final Cluster cluster;
    private final LoadClient load;

    private LoadedCluster(String test, Cluster cluster) {
        this.test = test;
        this.cluster = cluster;
        this.load = cluster.beginLoad();
    }

    /** Starts a cluster and a load and waits until every partition serves. */
    static LoadedCluster start(String test, boolean checksFence) {
        LoadedCluster loaded = new LoadedCluster(test, Cluster.start(freshFolder(test), checksFence));
        try {
            loaded.awaitSteadyLoad();
            return loaded;
        } catch (RuntimeException e) {
            loaded.close();
            throw e;
        }
    }

    private void awaitSteadyLoad() {
        cluster.awaitAllPartitionsServed(0, WAIT);
        // Cold daemons answer slowly at first, and the figures must show the fault and not the start.
        await("a steady load")
                .atMost(WAIT)
                .during(Duration.ofSeconds(1))
                .until(() -> load.pendingRequests() <= STEADY_PENDING);
    }

    Cluster cluster() {
        return cluster;
    }

    /** Returns a node that owns partitions now. */
    Node someOwner() {
        return cluster.nodes().stream()
                .max(Comparator.comparingInt(node -> cluster.partitionsOf(node).size()))
                .orElseThrow();
    }

    /** Waits until each of the partitions has run at another node; returns the longest time that took, in milliseconds. */
    long awaitServedElsewhere(Node lost, List<Integer> partitions, long sinceMicros) {
        assertFalse(partitions.isEmpty(), "the lost owner must have owned partitions");
        await("partitions " + partitions + " served elsewhere")
                .atMost(WAIT)
                .pollInterval(Duration.ofMillis(50))
                .until(() ->
                        cluster.firstRunsElsewhere(lost, sinceMicros).keySet().containsAll(partitions));
        Map<Integer, Long> first = cluster.firstRunsElsewhere(lost, sinceMicros);
        long longestMicros = partitions.stream()
                .mapToLong(partition -> first.get(partition) - sinceMicros)
                .max()
                .orElseThrow();
        return longestMicros / 1_000;
    }

    /** Waits until every partition has served again after the given time. */
    void awaitAllServedSince(long sinceMicros) {
        cluster.awaitAllPartitionsServed(sinceMicros, WAIT);
    }

    /** Ends the load and asserts that no response was wrong and that the execution logs show no violation. */
    List<RequestOutcome> endAndCheck() {
        load.stopSending();
        JsonObject counts = Futures.result(load.result());
        List<RequestOutcome> outcomes = CheckMain.readOutcomes(cluster.outcomeFile());
        cluster.saveRunLogs();
        CheckReport report = ExecutionCheck.check(cluster.runLogs(), outcomes);
        // The bounds assume processors that are free to run; the load average tells how far that held.
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        print("machine_load_average=" + loadAverage);
        print("load " + counts.encode());
        print("check " + report.describe());
        assertEquals(0, counts.getInteger("wrong"), counts.encode());
        assertTrue(counts.getInteger("answered") > 0, counts.encode());
        assertTrue(report.isClean(), report.describe());
        return outcomes;
    }

    /** Prints a figure and asserts its bound. */
    void assertBound(String figure, long millis, long boundMillis) {
        print(figure + "=" + millis + " bound=" + boundMillis);
        assertTrue(millis <= boundMillis, figure + " is " + millis + " ms, bound " + boundMillis + " ms");
    }

    void print(String text) {
        System.out.println("test=" + test + " " + text);
    }

    static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }

    @Override
    public void close() {
        cluster.close();
    }

    private static Path freshFolder(String test) {
        Path folder = Path.of("target", "process-tests", test);
        try {
            if (Files.exists(folder)) {
                try (Stream<Path> old = Files.walk(folder)) {
                    old.sorted(Comparator.reverseOrder())
                            .forEach(path -> path.toFile().delete());
                }
            }
            return Files.createDirectories(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
