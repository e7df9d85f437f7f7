package io.daisyhoist.testkit.backend;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.testkit.launch.MainSupport;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs a simulated backend server as a process. */
public final class BackendMain {
    private BackendMain() {}

    /** Starts the server. */
    public static void main(String[] args) {
        BackendSettings settings = parseSettings(MainSupport.parse(parser(), args));
        MainSupport.runServer(vertx -> BackendServer.start(vertx, settings)
                .map(server -> "port=" + server.port() + " admin_port=" + server.adminPort()));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = MainSupport.serverParser("backend", "Simulated backend server");
        parser.addArgument("--service").required(true).help("service that it belongs to");
        parser.addArgument("--daemon-admin").help("admin URL of its daemon, for announcements");
        MainSupport.intOption(parser, "--port", 0, "port for requests; 0 selects a free one");
        MainSupport.intOption(parser, "--admin-port", 0, "port of the admin interface; 0 selects a free one");
        MainSupport.intOption(parser, "--slots", 6, "concurrent requests when warm");
        MainSupport.intOption(parser, "--max-connections", 110, "maximum number of connections");
        MainSupport.decimalOption(parser, "--service-time-ms", 5, "median service time");
        MainSupport.decimalOption(parser, "--service-time-spread", 0.3, "sigma of the lognormal service time");
        MainSupport.intOption(parser, "--cold-limit", 2, "concurrent requests immediately after a start");
        MainSupport.intOption(parser, "--warm-up-ms", 3_000, "time until all slots may be used");
        MainSupport.intOption(parser, "--report-lag-ms", 500, "age at which load reports are refreshed");
        MainSupport.flagOption(parser, "--check-fence", "reject requests with a stale fencing token");
        parser.addArgument("--crash-header")
                .setDefault(BackendSettings.DEFAULT_CRASH_HEADER)
                .help("request header that triggers a crash");
        MainSupport.intOption(parser, "--restart-ms", 1_000, "time from a crash to the restart");
        MainSupport.intOption(parser, "--body-bytes", 256, "length of the padding in responses");
        MainSupport.intOption(parser, "--seed", 1, "seed of the service times");
        return parser;
    }

    private static BackendSettings parseSettings(Namespace options) {
        return new BackendSettings(
                options.getString("service"),
                options.getString("host"),
                options.getInt("port"),
                options.getInt("admin_port"),
                Optional.ofNullable(options.getString("daemon_admin")),
                options.getInt("slots"),
                options.getInt("max_connections"),
                options.getDouble("service_time_ms"),
                options.getDouble("service_time_spread"),
                options.getInt("cold_limit"),
                Duration.ofMillis(options.getInt("warm_up_ms")),
                Duration.ofMillis(options.getInt("report_lag_ms")),
                options.getBoolean("check_fence"),
                options.getString("crash_header"),
                Duration.ofMillis(options.getInt("restart_ms")),
                options.getInt("body_bytes"),
                options.getInt("seed"));
    }
}
