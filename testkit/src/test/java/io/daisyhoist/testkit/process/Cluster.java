package io.daisyhoist.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.backend.Execution;
import io.daisyhoist.testkit.check.BackendExecutions;
import io.daisyhoist.testkit.launch.DaemonSettingsFile;
import io.daisyhoist.testkit.launch.FreePorts;
import io.daisyhoist.testkit.load.LoadClient;
import io.daisyhoist.testkit.load.LoadPlan;
import io.daisyhoist.testkit.platform.PlatformServer;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;

import static org.awaitility.Awaitility.await;

/**
 * Simulated platform and six daemons in three availability zones on loopback. The daemons are separate processes; the
 * simulated servers run in the test process. Confined to the test thread.
 */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "archive";
    static final int PARTITIONS = 16;

    private static final List<String> ZONE_NAMES = List.of("east", "north", "west");
    private static final int DAEMON_COUNT = 6;
    private static final String CLI_MAIN = "io.daisyhoist.cli.Main";
    private static final Duration START_TIMEOUT = Duration.ofSeconds(25);

    private final Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final PlatformServer platform;
    private final List<Node> nodes = new ArrayList<>();
    private int commandCount;

    private Cluster(Path folder, boolean checksFence) {
        this.folder = folder;
        this.platform = Futures.awaitResult(PlatformServer.start(vertx, DaemonSettingsFile.LOOPBACK_HOST, 0));
        Iterator<Integer> ports = FreePorts.find(4 * DAEMON_COUNT).iterator();
        for (int i = 0; i < DAEMON_COUNT; i++) {
            List<Integer> nodePorts = List.of(ports.next(), ports.next(), ports.next(), ports.next());
            String zone = ZONE_NAMES.get(i % ZONE_NAMES.size());
            nodes.add(new Node(vertx, folder, "archive-" + (i + 1), zone, platform.port(), nodePorts, checksFence));
        }
    }

    /** Starts the cluster and waits until all daemons are ready. */
    static Cluster start(Path folder, boolean checksFence) {
        Cluster cluster = new Cluster(folder, checksFence);
        try {
            cluster.pushServices(checksFence, 6);
            cluster.nodes.forEach(Node::startDaemon);
            await("all daemons ready")
                    .atMost(START_TIMEOUT)
                    .until(() -> cluster.nodes.stream().allMatch(Node::isReady));
            return cluster;
        } catch (RuntimeException e) {
            cluster.close();
            throw e;
        }
    }

    List<Node> nodes() {
        return nodes;
    }

    PlatformServer platform() {
        return platform;
    }

    List<BackendExecutions> backendExecutions() {
        return nodes.stream().map(Node::executions).toList();
    }

    /** Writes and pushes the service file; returns the exit code of the command. */
    int pushServices(boolean checksFence, int slots) {
        String services = String.join(
                "\n",
                "[services." + SERVICE + "]",
                "keyed = true",
                "partitions = " + PARTITIONS,
                "slots = " + slots,
                "checks_fence = " + checksFence,
                "[zones.east]",
                "[zones.north]",
                "[zones.west]",
                "");
        Path configFolder = folder.resolve("config");
        try {
            Files.createDirectories(configFolder);
            Files.writeString(configFolder.resolve("10-services.toml"), services);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return runCommand("config", "push", configFolder.toString());
    }

    /** Runs the command-line tool and returns its exit code. */
    int runCommand(String... arguments) {
        List<String> commandLine = new ArrayList<>(List.of(arguments));
        commandLine.addAll(List.of("--platform", DaemonSettingsFile.url(platform.port()), "--author", "test"));
        Path log = folder.resolve("command-" + ++commandCount + ".log");
        try (JavaProcess process = JavaProcess.start(log, CLI_MAIN, commandLine.toArray(String[]::new))) {
            int exitCode = process.waitForExit(Duration.ofSeconds(20));
            if (exitCode != 0) {
                System.out.println(process.output());
            }
            return exitCode;
        }
    }

    /** Starts a load of keyed and keyless requests over all daemons, which ends when stopped or after one minute. */
    LoadClient startLoad() {
        double ratePerSecond = 120;
        return LoadClient.start(
                vertx,
                new LoadPlan(
                        nodes.stream().map(Node::clientUrl).toList(),
                        List.of(SERVICE),
                        List.of(SERVICE),
                        (int) (60 * ratePerSecond),
                        ratePerSecond,
                        200,
                        0.3,
                        0.1,
                        Duration.ofSeconds(2),
                        Duration.ofSeconds(12),
                        Duration.ofMillis(150),
                        Optional.of(outcomeFile()),
                        1));
    }

    Path outcomeFile() {
        return folder.resolve("outcomes");
    }

    /** Writes the executions beside the outcomes, one JSON line each, for failure analysis. */
    void saveExecutions() {
        List<String> lines = backendExecutions().stream()
                .flatMap(log -> log.executions().stream()
                        .map(execution -> JsonObject.mapFrom(execution)
                                .put("source", log.backendName())
                                .encode()))
                .toList();
        try {
            Files.write(folder.resolve("executions"), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until every partition has executed a request since the given time, in microseconds since 1970. */
    void awaitAllPartitionsServed(long sinceMicros, Duration timeout) {
        await("all partitions served")
                .atMost(timeout)
                .pollInterval(Duration.ofMillis(50))
                .until(() -> lastNodeByPartition(sinceMicros).size() == PARTITIONS);
    }

    /** Returns the partitions whose latest execution was on the node. */
    List<Integer> partitionsLastExecutedBy(Node node) {
        return lastNodeByPartition(0).entrySet().stream()
                .filter(entry -> entry.getValue().equals(node.name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the time of the first execution on another node for each partition that had one after the given time. */
    Map<Integer, Long> firstExecutionsOnOtherNodes(Node excluded, long afterMicros) {
        return nodes.stream()
                .filter(node -> node != excluded)
                .flatMap(node -> node.backend().executionLog().entriesSince(0).stream())
                .filter(execution -> execution.partition() >= 0 && execution.startMicros() >= afterMicros)
                .collect(Collectors.toMap(Execution::partition, Execution::startMicros, Math::min, TreeMap::new));
    }

    private Map<Integer, String> lastNodeByPartition(long sinceMicros) {
        Map<Integer, Execution> lastExecutions = new TreeMap<>();
        Map<Integer, String> nodeNames = new TreeMap<>();
        for (Node node : nodes) {
            for (Execution execution : node.backend().executionLog().entriesSince(0)) {
                boolean matches = execution.partition() >= 0 && execution.startMicros() >= sinceMicros;
                if (matches
                        && (!lastExecutions.containsKey(execution.partition())
                                || lastExecutions.get(execution.partition()).startMicros() < execution.startMicros())) {
                    lastExecutions.put(execution.partition(), execution);
                    nodeNames.put(execution.partition(), node.name());
                }
            }
        }
        return nodeNames;
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
        Futures.awaitResult(vertx.close());
    }
}
