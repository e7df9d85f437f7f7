package io.daisyhoist.daemon.process.settings;

import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.config.ConfigFault;
import io.daisyhoist.core.config.InvalidConfigException;
import io.daisyhoist.core.config.SettingsReader;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ClientLimits;
import io.netty.util.NetUtil;

/** Reads and validates one settings file. Not thread-safe; a new reader is needed for each file. */
final class DaemonSettingsReader {
    private static final String NAME_RULE = "1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit";
    private static final String URL_RULE = "a URL like http://127.0.0.1:7000, without path";
    private static final String HOST_RULE = "a numeric IP address that other daemons can reach";

    private final String file;
    private final List<ConfigFault> faults = new ArrayList<>();
    private final SettingsReader root;

    DaemonSettingsReader(String file, String toml) {
        this.file = file;
        this.root = SettingsReader.ofFile(file, toml, faults);
    }

    static DaemonSettings load(Path path) {
        try {
            return new DaemonSettingsReader(path.toString(), Files.readString(path)).read();
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.USAGE, "cannot read the settings file " + path + ": " + e, e);
        }
    }

    DaemonSettings read() {
        // If the file cannot be parsed, every required key would also be reported as missing.
        throwIfInvalid();
        String cluster = nameOrDefault("cluster", "daisyhoist");
        String daemonId = root.requiredText("daemon_id", Names::isValid, NAME_RULE);
        String region = nameOrDefault("region", "default");
        String zone = root.requiredText("zone", Names::isValid, NAME_RULE);
        String service = root.requiredText("service", Names::isValid, NAME_RULE);
        String host = host();
        int httpPort = port("http_port", 8080);
        int adminPort = port("admin_port", 8081);
        int peerPort = port("peer_port", 8082);
        requireDistinctPorts(httpPort, adminPort, peerPort);
        List<String> platformUrls = platformUrls();
        String backendUrl = root.requiredText("backend_url", DaemonSettingsReader::isBaseUrl, URL_RULE);
        LeaseOptions lease = lease(root.table("lease"));
        LimitOptions limits = limits(root.table("limits"));
        LogLevel logLevel = logLevel();
        Optional<Path> traceFile = traceFile();
        root.reportUnknownKeys();
        throwIfInvalid();
        return new DaemonSettings(
                cluster,
                new DaemonId(daemonId),
                region,
                new AvailabilityZone(zone),
                new ServiceName(service),
                host,
                httpPort,
                adminPort,
                peerPort,
                platformUrls.stream().map(URI::create).toList(),
                URI.create(backendUrl),
                lease,
                limits,
                logLevel,
                traceFile);
    }

    private String nameOrDefault(String key, String defaultValue) {
        String value = root.text(key).orElse(defaultValue);
        if (!Names.isValid(value)) {
            root.addFault(key, "must be " + NAME_RULE + ", not \"" + value + "\"");
        }
        return value;
    }

    private String host() {
        String host = root.text("host").orElse("127.0.0.1");
        boolean isNumeric = NetUtil.isValidIpV4Address(host) || NetUtil.isValidIpV6Address(host);
        if (!isNumeric || Set.of("0.0.0.0", "::").contains(host)) {
            root.addFault("host", "must be " + HOST_RULE + ", not \"" + host + "\"");
        }
        return host;
    }

    private int port(String key, int defaultValue) {
        return (int) root.number(key, defaultValue, 1, 65_535);
    }

    private void requireDistinctPorts(int httpPort, int adminPort, int peerPort) {
        if (adminPort == httpPort) {
            root.addFault("admin_port", "must differ from http_port (" + httpPort + ")");
        }
        if (peerPort == httpPort || peerPort == adminPort) {
            root.addFault("peer_port", "must differ from http_port and admin_port (" + peerPort + ")");
        }
    }

    private List<String> platformUrls() {
        List<String> urls = root.texts(
                "platform_urls", List.of(), DaemonSettingsReader::isBaseUrl, "URLs like http://127.0.0.1:7000");
        if (urls.isEmpty() && faults.stream().noneMatch(fault -> fault.key().equals("platform_urls"))) {
            root.addFault("platform_urls", "is required: a list of one or more URLs like http://127.0.0.1:7000");
        }
        return urls;
    }

    private LeaseOptions lease(SettingsReader table) {
        long heartbeatMillis = table.number("heartbeat_ms", 700, 20, 60_000);
        long ttlMillis = table.number("lease_ttl_ms", 2_100, 100, 600_000);
        if (ttlMillis < 2 * heartbeatMillis) {
            table.addFault("lease_ttl_ms", "must be at least twice heartbeat_ms, or one late heartbeat ends a lease");
        }
        long witnesses = table.number("witnesses", 3, 3, 5);
        if (witnesses == 4) {
            table.addFault("witnesses", "must be 3 or 5; a fourth witness tolerates no more losses than three");
        }
        table.reportUnknownKeys();
        return new LeaseOptions(Duration.ofMillis(heartbeatMillis), Duration.ofMillis(ttlMillis), (int) witnesses);
    }

    private LimitOptions limits(SettingsReader table) {
        int headerBytes = (int) table.number("max_header_bytes", 16_384, 1_024, 1 << 20);
        // A forwarded request must fit into a peer frame of 2 MB.
        int bodyBytes = (int) table.number("max_body_bytes", 1 << 20, 1, 1 << 20);
        Duration headerTimeout = Duration.ofMillis(table.number("header_timeout_ms", 10_000, 10, 600_000));
        Duration idleTimeout = Duration.ofMillis(table.number("idle_timeout_ms", 75_000, 100, 3_600_000));
        ConnectionBounds connections = connections(table);
        int inFlight = (int) table.number("max_requests_in_flight", 10_000, 1, 1_000_000);
        Duration grace = Duration.ofMillis(table.number("shutdown_grace_ms", 20_000, 0, 600_000));
        table.reportUnknownKeys();
        ClientLimits clients = new ClientLimits(headerBytes, bodyBytes, headerTimeout, idleTimeout);
        return new LimitOptions(clients, connections, inFlight, grace);
    }

    private static ConnectionBounds connections(SettingsReader table) {
        ConnectionBounds defaults = ConnectionBounds.DEFAULT;
        int fields = (int) table.number("max_header_fields", defaults.maxHeaderFields(), 16, 1 << 20);
        int pipelinedBytes = (int) table.number("max_pipelined_bytes", defaults.maxPipelinedBytes(), 1, 1 << 20);
        int bodyRate = (int) table.number("min_body_bytes_per_s", defaults.minBodyBytesPerSecond(), 0, 1 << 20);
        int maxConnections =
                (int) table.number("max_connections", ConnectionBounds.maxConnections(Descriptors.max()), 1, 1_000_000);
        int ofAddress = (int) table.number(
                "max_connections_per_address", ConnectionBounds.maxConnectionsPerAddress(maxConnections), 1, 1_000_000);
        return new ConnectionBounds(fields, pipelinedBytes, bodyRate, maxConnections, ofAddress);
    }

    private LogLevel logLevel() {
        String label = root.text("log_level").orElse("info");
        Optional<LogLevel> level = LogLevel.fromLabel(label);
        if (level.isEmpty()) {
            root.addFault("log_level", "must be error, warn, info or debug, not \"" + label + "\"");
        }
        return level.orElse(LogLevel.INFO);
    }

    private Optional<Path> traceFile() {
        try {
            return root.text("trace_file").map(Path::of);
        } catch (InvalidPathException e) {
            root.addFault("trace_file", "is not a file name: " + e.getReason());
            return Optional.empty();
        }
    }

    private void throwIfInvalid() {
        if (!faults.isEmpty()) {
            throw new InvalidConfigException(faults);
        }
    }

    private static boolean isBaseUrl(String text) {
        try {
            URI uri = new URI(text);
            boolean hasNoPath = uri.getRawPath() == null || Set.of("", "/").contains(uri.getRawPath());
            return "http".equals(uri.getScheme())
                    && uri.getHost() != null
                    && uri.getPort() > 0
                    && uri.getPort() <= 65_535
                    && hasNoPath
                    && uri.getRawQuery() == null
                    && uri.getRawFragment() == null;
        } catch (URISyntaxException e) {
            return false;
        }
    }
}
