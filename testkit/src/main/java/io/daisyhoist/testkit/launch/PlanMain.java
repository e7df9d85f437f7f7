package io.daisyhoist.testkit.launch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;

import io.daisyhoist.core.config.EffectiveConfig;
import io.daisyhoist.core.config.ServiceSettings;
import io.daisyhoist.core.config.WorkerSettings;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Plans a deployment of an example for a launch script: allocates free ports, writes a settings file for each daemon
 * and prints one line for each process.
 *
 * <p>Lines: {@code platform PORT}; {@code service NAME keyed|keyless}; {@code worker NAME SERVICE SLOTS COLD_LIMIT
 * MAX_CONNECTIONS true|false HTTP ADMIN BACKEND BACKEND_ADMIN}, where the boolean tells whether the backend server
 * checks the fencing token, and the last four are ports.
 */
public final class PlanMain {
    private static final int PORTS_PER_WORKER = 5;

    private PlanMain() {}

    /** Prints the plan. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("plan").build().description("Plans a deployment of an example");
        parser.addArgument("--example").required(true).help("folder of configuration files");
        parser.addArgument("--out").required(true).help("folder for the daemons' settings files");
        Namespace options = MainSupport.parse(parser, args);
        createPlan(Path.of(options.getString("example")), Path.of(options.getString("out")))
                .forEach(System.out::println);
    }

    private static List<String> createPlan(Path example, Path out) {
        EffectiveConfig config = ConfigFolderReader.read(example);
        List<WorkerSettings> workers = config.workers().values().stream()
                .sorted(Comparator.comparing(WorkerSettings::daemon))
                .toList();
        Iterator<Integer> ports =
                FreePorts.find(1 + PORTS_PER_WORKER * workers.size()).iterator();
        int platformPort = ports.next();
        List<String> lines = new ArrayList<>();
        lines.add("platform " + platformPort);
        config.services().values().stream()
                .sorted(Comparator.comparing(ServiceSettings::name))
                .forEach(service -> lines.add("service " + service.name() + (service.keyed() ? " keyed" : " keyless")));
        for (WorkerSettings worker : workers) {
            ServiceSettings service = config.service(worker.service()).orElseThrow();
            lines.add(planWorker(worker, service, platformPort, ports, out));
        }
        return lines;
    }

    private static String planWorker(
            WorkerSettings worker, ServiceSettings service, int platformPort, Iterator<Integer> ports, Path out) {
        int httpPort = ports.next();
        int adminPort = ports.next();
        int peerPort = ports.next();
        int backendPort = ports.next();
        int backendAdminPort = ports.next();
        DaemonSettingsFile file = new DaemonSettingsFile(
                worker.daemon().name(),
                "local",
                worker.zone().name(),
                worker.service().name(),
                httpPort,
                adminPort,
                peerPort,
                List.of(DaemonSettingsFile.url(platformPort)),
                DaemonSettingsFile.url(backendPort));
        write(out.resolve(worker.daemon() + ".toml"), file.toToml());
        return "worker " + worker.daemon() + " " + worker.service() + " " + service.slots() + " "
                + service.coldLimit() + " " + service.maxConnections() + " " + service.checksFence() + " " + httpPort
                + " " + adminPort + " " + backendPort + " " + backendAdminPort;
    }

    private static void write(Path file, String text) {
        try {
            Files.writeString(file, text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
