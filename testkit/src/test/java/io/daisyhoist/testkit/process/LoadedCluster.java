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
 * Cluster under load, with the steps that the process tests share. Its files are kept in {@code target/process-tests}
 * for failure analysis. Confined to the test thread.
 */
final class LoadedCluster implements AutoCloseable {
    /** Exceeds every asserted bound, so that a violation is measured instead of ending in a timeout. */
    private static final Duration WAIT_TIMEOUT = Duration.ofSeconds(20);

    /** At 120 requests per second, this corresponds to a mean latency of 200 ms. */
    private static final int MAX_STEADY_PENDING = 24;

    private final String testName;
    private final Cluster cluster;
    private final LoadClient load;

    private LoadedCluster(String testName, Cluster cluster) {
        this.testName = testName;
        this.cluster = cluster;
        this.load = cluster.startLoad();
    }

    /** Starts a cluster and a load and waits until all partitions are served with a steady latency. */
    static LoadedCluster start(String testName, boolean checksFence) {
        LoadedCluster loaded = new LoadedCluster(testName, Cluster.start(createEmptyFolder(testName), checksFence));
        try {
            loaded.awaitSteadyLoad();
            return loaded;
        } catch (RuntimeException e) {
            loaded.close();
            throw e;
        }
    }

    private void awaitSteadyLoad() {
        cluster.awaitAllPartitionsServed(0, WAIT_TIMEOUT);
        // Daemons respond slowly just after their start, and the measurements must not include that.
        await("a steady load")
                .atMost(WAIT_TIMEOUT)
                .during(Duration.ofSeconds(1))
                .until(() -> load.pendingRequests() <= MAX_STEADY_PENDING);
    }

    Cluster cluster() {
        return cluster;
    }

    /** Returns the node that last executed requests of the most partitions. */
    Node nodeWithMostPartitions() {
        return cluster.nodes().stream()
                .max(Comparator.comparingInt(
                        node -> cluster.partitionsLastExecutedBy(node).size()))
                .orElseThrow();
    }

    /** Waits until other nodes have executed requests of all partitions; returns the longest delay in milliseconds. */
    long awaitServedByOtherNodes(Node lost, List<Integer> partitions, long sinceMicros) {
        assertFalse(partitions.isEmpty(), "the lost node must have owned partitions");
        await("partitions " + partitions + " served by other nodes")
                .atMost(WAIT_TIMEOUT)
                .pollInterval(Duration.ofMillis(50))
                .until(() -> cluster.firstExecutionsOnOtherNodes(lost, sinceMicros)
                        .keySet()
                        .containsAll(partitions));
        Map<Integer, Long> first = cluster.firstExecutionsOnOtherNodes(lost, sinceMicros);
        long longestMicros = partitions.stream()
                .mapToLong(partition -> first.get(partition) - sinceMicros)
                .max()
                .orElseThrow();
        return longestMicros / 1_000;
    }

    /** Waits until every partition has been served after the given time. */
    void awaitAllPartitionsServed(long sinceMicros) {
        cluster.awaitAllPartitionsServed(sinceMicros, WAIT_TIMEOUT);
    }

    /** Stops the load and asserts that no response was wrong and that the execution logs show no violation. */
    List<RequestOutcome> stopLoadAndCheck() {
        load.stopSending();
        JsonObject counts = Futures.awaitResult(load.result());
        List<RequestOutcome> outcomes = CheckMain.readOutcomes(cluster.outcomeFile());
        cluster.saveExecutions();
        CheckReport report = ExecutionCheck.check(cluster.backendExecutions(), outcomes);
        // The bounds assume idle processors; the load average tells to what extent that was the case.
        double loadAverage = ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
        print("machine_load_average=" + loadAverage);
        print("load " + counts.encode());
        print("check " + report.describe());
        assertEquals(0, counts.getInteger("wrong"), counts.encode());
        assertTrue(counts.getInteger("answered") > 0, counts.encode());
        assertTrue(report.isClean(), report.describe());
        return outcomes;
    }

    /** Prints a measurement and asserts its bound. */
    void assertBound(String metric, long millis, long boundMillis) {
        print(metric + "=" + millis + " bound=" + boundMillis);
        assertTrue(millis <= boundMillis, metric + " is " + millis + " ms, bound " + boundMillis + " ms");
    }

    void print(String text) {
        System.out.println("test=" + testName + " " + text);
    }

    static long nowMicros() {
        return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    }

    @Override
    public void close() {
        cluster.close();
    }

    private static Path createEmptyFolder(String testName) {
        Path folder = Path.of("target", "process-tests", testName);
        try {
            if (Files.exists(folder)) {
                try (Stream<Path> paths = Files.walk(folder)) {
                    paths.sorted(Comparator.reverseOrder())
                            .forEach(path -> path.toFile().delete());
                }
            }
            return Files.createDirectories(folder);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
