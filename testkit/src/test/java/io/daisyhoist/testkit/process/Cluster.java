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
 * A platform stand-in and six daemons in three availability zones on loopback. The daemons are processes; the stand-ins
 * run inside the test. Confined to the test's thread.
 */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "archive";
    static final int PARTITIONS = 16;

    private static final List<String> ZONES = List.of("east", "north", "west");
    private static final int DAEMONS = 6;
    private static final String CLI_MAIN = "io.daisyhoist.cli.Main";
    private static final Duration START_LIMIT = Duration.ofSeconds(25);

    private final Path folder;
    private final Vertx vertx = Vertx.vertx();
    private final PlatformServer platform;
    private final List<Node> nodes = new ArrayList<>();
    private int commands;

    private Cluster(Path folder, boolean checksFence) {
        this.folder = folder;
        this.platform = Futures.result(PlatformServer.start(vertx, DaemonSettingsFile.LOOPBACK_HOST, 0));
        Iterator<Integer> ports = FreePorts.find(4 * DAEMONS).iterator();
        for (int i = 0; i < DAEMONS; i++) {
            List<Integer> own = List.of(ports.next(), ports.next(), ports.next(), ports.next());
            String zone = ZONES.get(i % ZONES.size());
            nodes.add(new Node(vertx, folder, "archive-" + (i + 1), zone, platform.port(), own, checksFence));
        }
    }

    /** Starts all and waits until every daemon is ready. */
    static Cluster start(Path folder, boolean checksFence) {
        Cluster cluster = new Cluster(folder, checksFence);
        try {
            cluster.pushServices(checksFence, 6);
            cluster.nodes.forEach(Node::startDaemon);
            await("all daemons ready")
                    .atMost(START_LIMIT)
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

    List<BackendExecutions> runLogs() {
        return nodes.stream().map(Node::runLog).toList();
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
        return command("config", "push", configFolder.toString());
    }

    /** Runs the operators' command to its end; returns its exit code. */
    int command(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of("--platform", DaemonSettingsFile.url(platform.port()), "--author", "test"));
        Path log = folder.resolve("command-" + ++commands + ".log");
        try (JavaProcess process = JavaProcess.start(log, CLI_MAIN, all.toArray(String[]::new))) {
            int exitCode = process.waitForExit(Duration.ofSeconds(20));
            if (exitCode != 0) {
                System.out.println(process.output());
            }
            return exitCode;
        }
    }

    /** Begins a load of keyed and keyless requests over all daemons that lasts until it is stopped or for a minute. */
    LoadClient beginLoad() {
        double ratePerSecond = 120;
        return LoadClient.start(
                vertx,
                new LoadPlan(
                        nodes.stream().map(Node::edgeUrl).toList(),
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

    /** Writes the execution logs beside the outcomes, one JSON line per run, for the study of a failure. */
    void saveRunLogs() {
        List<String> lines = runLogs().stream()
                .flatMap(log -> log.executions().stream()
                        .map(run -> JsonObject.mapFrom(run)
                                .put("source", log.backendName())
                                .encode()))
                .toList();
        try {
            Files.write(folder.resolve("executions"), lines);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Waits until every partition has run a request since the given time, in microseconds since 1970. */
    void awaitAllPartitionsServed(long sinceMicros, Duration limit) {
        await("all partitions served")
                .atMost(limit)
                .pollInterval(Duration.ofMillis(50))
                .until(() -> lastRunByPartition(sinceMicros).size() == PARTITIONS);
    }

    /** Returns the partitions whose latest run was at a node. */
    List<Integer> partitionsOf(Node node) {
        return lastRunByPartition(0).entrySet().stream()
                .filter(entry -> entry.getValue().equals(node.name()))
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the time of the first run at another node for each partition that had one after the given time. */
    Map<Integer, Long> firstRunsElsewhere(Node than, long afterMicros) {
        return nodes.stream()
                .filter(node -> node != than)
                .flatMap(node -> node.backend().executionLog().entriesSince(0).stream())
                .filter(run -> run.partition() >= 0 && run.startMicros() >= afterMicros)
                .collect(Collectors.toMap(Execution::partition, Execution::startMicros, Math::min, TreeMap::new));
    }

    private Map<Integer, String> lastRunByPartition(long sinceMicros) {
        Map<Integer, Execution> last = new TreeMap<>();
        Map<Integer, String> names = new TreeMap<>();
        for (Node node : nodes) {
            for (Execution run : node.backend().executionLog().entriesSince(0)) {
                boolean counts = run.partition() >= 0 && run.startMicros() >= sinceMicros;
                if (counts
                        && (!last.containsKey(run.partition())
                                || last.get(run.partition()).startMicros() < run.startMicros())) {
                    last.put(run.partition(), run);
                    names.put(run.partition(), node.name());
                }
            }
        }
        return names;
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
        Futures.result(vertx.close());
    }
}
