import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A machine with its daemon, which the command of the deploy file starts. */
final class Machine {
    final String node;
    final String zone;
    final String service;
    final String ip;
    final int inboundPort;
    final int appPort;
    final int readyPort;
    final int outboundPort;
    final int controlPort;
    final int firstPeerPort;
    private final Path folder;
    private final Path settings;
    private Process process;
    int starts;

    Machine(int number, String zone, String service, int basePort, Path folder) {
        this.node = "side-" + zone + "-" + number;
        this.zone = zone;
        this.service = service;
        this.ip = ip(number);
        this.inboundPort = basePort;
        this.appPort = basePort + 1;
        this.readyPort = basePort + 2;
        this.outboundPort = basePort + 4;
        this.controlPort = basePort + 6;
        this.firstPeerPort = basePort + 20;
        this.folder = folder;
        this.settings = folder.resolve(node + ".json");
    }

    /** Returns the loopback address of a machine. */
    static String ip(int number) {
        return "127.0.0." + (10 + number);
    }

    void writeSettings(String storeAddress) throws IOException {
        ObjectNode root = Store.MAPPER.createObjectNode();
        root.put("grants", "heartbeat");
        ObjectNode self = root.putObject("self");
        self.put("node", node).put("role", "daemon").put("machine-class", "side").put("ip", ip).put("zone", zone);
        self.put("region", "region").put("counts-as-loss", false).put("bootstrap", true).putNull("data-dir");
        self.putArray("serves").add("side");
        self.putObject("limits").put("cpu-share", 0.6).put("cores", 1).put("memory-mb", 430).put("max-fds", 4100)
                .put("link-mbps", 1000.0).put("disk-mb", 0);
        self.put("app-addr", ip + ":" + appPort).put("service", service);
        ObjectNode network = root.putObject("network");
        network.putObject("listen").put("inbound", ip + ":" + inboundPort).put("outbound", ip + ":" + outboundPort)
                .put("ready-addr", ip + ":" + readyPort).put("control", ip + ":" + controlPort);
        network.putArray("port-range").add(firstPeerPort).add(firstPeerPort + 15);
        network.putArray("seeds");
        network.putObject("zones").put("zone-a", "region").put("zone-b", "region").put("zone-c", "region");
        ObjectNode provider = root.putObject("provider");
        provider.put("discovery", "static").put("entry", "static").put("heartbeat-ms", 870);
        provider.putObject("provider").put("address", storeAddress).put("form", "kv").put("writes-per-s", 400)
                .put("reads-per-s", 2000).put("history-s", 20).put("value-bytes", 1048576).put("ttl-min-ms", 1000);
        ObjectNode terms = root.putObject("terms");
        ArrayNodes.addAll(terms.putArray("contracts"), "base", "drain", "config", "cost", "retry", "recover", "own",
                "places", "platform");
        terms.putObject("fault-tolerance").put("machines", 2).put("zones", 1).put("regions", 0);
        terms.putObject("bounds").put("seed-lag-s", 3).put("reuse-after-s", 2).put("contact-ms", 3000)
                .put("ack-ms", 4000).put("catch-up-s", 4).put("drain-ms", 2000).put("grace-s", 6)
                .put("loss-slack-ms", 200).put("config-apply-ms", 2000).put("rollback-slack-ms", 250)
                .put("max-skew-ms", 5000).put("retry-budget-ratio", 0.2).put("budget-window-s", 10)
                .put("retry-budget-slack", 56).put("cold-over", 1.5).put("cold-slack", 5).put("evacuate-ms", 5000)
                .put("recover-s", 15).put("hold-max-ms", 10000).put("thaw-slack-ms", 300);
        Files.writeString(settings, root.toString());
    }

    void start(List<String> command) throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().putAll(Map.of("DAISYHOIST_BOOT", settings.toString()));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(folder.toFile(), node + ".log")));
        process = builder.start();
        starts++;
    }

    Process process() {
        return process;
    }

    boolean alive() {
        return process != null && process.isAlive();
    }

    Path logFile() {
        return folder.resolve(node + ".log");
    }

    /** Kills the daemon, as SIGKILL does. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }

    boolean ready() {
        try {
            return Client.call(ip, readyPort, "GET", "/ready", "", new byte[0], 1000).status == 200;
        } catch (RuntimeException e) {
            return false;
        }
    }
}
