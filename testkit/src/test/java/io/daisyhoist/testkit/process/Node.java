package io.daisyhoist.testkit.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.testkit.Futures;
import io.daisyhoist.testkit.TestHttpClient;
import io.daisyhoist.testkit.backend.BackendServer;
import io.daisyhoist.testkit.backend.BackendSettings;
import io.daisyhoist.testkit.check.BackendExecutions;
import io.daisyhoist.testkit.launch.DaemonSettingsFile;
import io.daisyhoist.testkit.link.LinkProxy;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;

/**
 * One daemon process with its simulated backend server and its own proxy to the platform. Confined to the test
 * thread.
 */
final class Node implements AutoCloseable {
    private static final String DAEMON_MAIN = "io.daisyhoist.daemon.process.DaemonMain";

    private final String name;
    private final String zone;
    private final Path folder;
    private final LinkProxy platformLink;
    private final BackendServer backend;
    private final DaemonSettingsFile daemonSettings;
    private JavaProcess daemon;

    /** Starts the backend server and the proxy, but not the daemon. */
    Node(
            Vertx vertx,
            Path folder,
            String name,
            String zone,
            int platformPort,
            List<Integer> ports,
            boolean checksFence) {
        this.name = name;
        this.zone = zone;
        this.folder = folder;
        this.platformLink = Futures.awaitResult(LinkProxy.start(
                vertx, DaemonSettingsFile.LOOPBACK_HOST, 0, DaemonSettingsFile.LOOPBACK_HOST, platformPort));
        this.backend = Futures.awaitResult(
                BackendServer.start(vertx, backendSettings(ports.get(1), ports.get(3), checksFence)));
        this.daemonSettings = new DaemonSettingsFile(
                name,
                "local",
                zone,
                Cluster.SERVICE,
                ports.get(0),
                ports.get(1),
                ports.get(2),
                List.of(DaemonSettingsFile.url(platformLink.port())),
                DaemonSettingsFile.url(backend.port()));
    }

    private static BackendSettings backendSettings(int daemonAdminPort, int port, boolean checksFence) {
        return new BackendSettings(
                Cluster.SERVICE,
                DaemonSettingsFile.LOOPBACK_HOST,
                port,
                0,
                Optional.of(DaemonSettingsFile.url(daemonAdminPort)),
                6,
                110,
                // Long enough that requests are almost always in flight when a fault occurs.
                30,
                0.3,
                2,
                Duration.ofMillis(1_000),
                Duration.ofMillis(500),
                checksFence,
                BackendSettings.DEFAULT_CRASH_HEADER,
                Duration.ofMillis(1_000),
                256,
                port);
    }

    void startDaemon() {
        daemon = JavaProcess.start(logFile(), DAEMON_MAIN, "--config", writeSettings(""));
    }

    /**
     * Starts the daemon with limits.
     *
     * @param limits further lines of the settings file
     */
    void startDaemon(String limits, int maxDescriptors) {
        daemon = JavaProcess.startWithDescriptors(
                maxDescriptors, logFile(), DAEMON_MAIN, "--config", writeSettings(limits));
    }

    private String writeSettings(String limits) {
        Path settingsFile = folder.resolve(name + ".toml");
        try {
            Files.writeString(settingsFile, daemonSettings.toToml() + limits);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return settingsFile.toString();
    }

    Path logFile() {
        return folder.resolve(name + ".log");
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    JavaProcess daemon() {
        return daemon;
    }

    BackendServer backend() {
        return backend;
    }

    LinkProxy platformLink() {
        return platformLink;
    }

    String clientUrl() {
        return DaemonSettingsFile.url(daemonSettings.httpPort());
    }

    String adminUrl() {
        return DaemonSettingsFile.url(daemonSettings.adminPort());
    }

    String peerUrl() {
        return DaemonSettingsFile.url(daemonSettings.peerPort());
    }

    BackendExecutions executions() {
        return new BackendExecutions(name, backend.executionLog().entriesSince(0));
    }

    boolean isReady() {
        return queryAdminPort("/ready")
                .filter(response -> response.statusCode() == 200)
                .isPresent();
    }

    JsonObject status() {
        return queryAdminPort("/v1/status")
                .map(response -> new JsonObject(response.body()))
                .orElseGet(JsonObject::new);
    }

    /** Returns the name of the daemon that owns a key. */
    String ownerOf(String key) {
        return queryAdminPort("/v1/owner?service=" + Cluster.SERVICE + "&key=" + key)
                .map(response -> new JsonObject(response.body()).getString("owner"))
                .orElse("");
    }

    private Optional<HttpResponse<String>> queryAdminPort(String path) {
        try {
            return Optional.of(TestHttpClient.send("GET", adminUrl() + path, ""));
        } catch (UncheckedIOException notListening) {
            return Optional.empty();
        }
    }

    @Override
    public void close() {
        if (daemon != null) {
            daemon.close();
        }
    }
}
