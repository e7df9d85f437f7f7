import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Stream;

/** A small deployment: the store, machines with their daemons, and the operator. */
final class Fleet implements AutoCloseable {
    private static final int MAX_MACHINES = 8;

    final Log log;
    final Store store;
    final Link storeLink;
    final List<Machine> machines = new ArrayList<>();
    final Path folder;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final List<String> command;
    private final int basePort;

    Fleet(Path caseFolder) throws IOException {
        log = new Log(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review-case");
        store = new Store("127.0.0.1", log);
        storeLink = new Link("127.0.0.1", "127.0.0.1", store.port());
        command = command();
        basePort = freeBase();
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
        log.line("trouble: " + trouble);
    }

    private static List<String> command() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
            return probe.isBound();
        } catch (IOException e) {
            return false;
        }
    }

    private static int freeBase() throws IOException {
        for (int i = 0; i < 200; i++) {
            int base = ThreadLocalRandom.current().nextInt(10_000, 30_000);
            boolean free = true;
            for (int number = 1; number <= MAX_MACHINES && free; number++) {
                for (int port = base; port < base + 36 && free; port++) {
                    free = isFree(Machine.ip(number), port);
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    Machine add(String zone, String service) throws IOException {
        return add(zone, service, storeLink);
    }

    /** Adds a machine that reaches the store over a link of its own. */
    Machine add(String zone, String service, Link link) throws IOException {
        Machine machine = new Machine(machines.size() + 1, zone, service, basePort, folder);
        machine.writeSettings("127.0.0.1:" + link.port());
        machines.add(machine);
        return machine;
    }

    void start(Machine machine) throws IOException {
        machine.start(command);
    }

    void startAll() throws IOException {
        for (Machine machine : machines) {
            start(machine);
        }
    }

    /** Waits until all daemons are ready; the case cannot run otherwise. */
    void awaitReady(int seconds) throws InterruptedException {
        long end = System.nanoTime() + seconds * 1_000_000_000L;
        while (!machines.stream().filter(Machine::alive).allMatch(Machine::ready)) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("daemons are not ready");
            }
            Thread.sleep(100);
        }
        log.line("all daemons are ready");
    }

    /** Configuration under construction. */
    static final class Config {
        private final ObjectNode root = Store.MAPPER.createObjectNode();
        private final ArrayNode resources;

        Config(int version) {
            root.put("version", "r" + version);
            resources = root.putArray("resources");
        }

        Config route(String name, String host, String prefix, String kind, String service, int timeoutMs) {
            ObjectNode resource = resources.addObject().put("resource-type", "routes");
            resource.putObject("metadata").put("name", name);
            resource.putObject("spec").put("hostname", host).put("prefix", prefix).put("kind", kind)
                    .put("timeout-ms", timeoutMs).put("target-latency-ms", timeoutMs / 2).put("priority", 1)
                    .put("service", service).put("max-attempts", 2);
            return this;
        }

        Config service(String name, boolean sharded) {
            ObjectNode resource = resources.addObject().put("resource-type", "services");
            resource.putObject("metadata").put("name", name);
            ObjectNode spec = resource.putObject("spec").put("health-path", "/health").put("max-connections", 110)
                    .put("protocol", "h1").put("tls", false).put("cold-s", 3.0).put("cold-per-s", 14.0);
            if (sharded) {
                spec.put("sharded", true).put("warm-s", 2.0).put("grants", "heartbeat");
            }
            return this;
        }

        String text() {
            ObjectNode limits = resources.addObject().put("resource-type", "limits");
            limits.putObject("metadata");
            limits.putObject("spec").put("max-header-bytes", 16384).put("max-body-bytes", 67108864)
                    .put("header-timeout-ms", 3000).put("idle-timeout-ms", 15000);
            return root.toString();
        }
    }

    void configure(Config config) {
        String text = config.text();
        store.operatorPut("op/config", text);
        log.line("operator: op/config is acknowledged: " + text);
    }

    private void stop() {
        machines.stream().map(Machine::process).filter(process -> process != null).forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        stop();
        String keep = System.getenv("KEEP_LOGS");
        if (keep != null) {
            Path to = Path.of(keep);
            Files.createDirectories(to);
            for (Machine machine : machines) {
                if (Files.exists(machine.logFile())) {
                    Files.copy(machine.logFile(), to.resolve(machine.node + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
            }
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }

    /** Ends the case with the result as its exit code. */
    static void finish(Fleet fleet, int code, String text) throws IOException {
        fleet.log.line("result " + code + ": " + text);
        System.out.println((code == 1 ? "BROKEN: " : code == 0 ? "held: " : "could not run: ") + text);
        fleet.close();
        Runtime.getRuntime().halt(code);
    }
}
