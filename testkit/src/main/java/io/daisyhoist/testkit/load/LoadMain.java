package io.daisyhoist.testkit.load;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Optional;

import io.daisyhoist.testkit.launch.MainSupport;
import io.vertx.core.Vertx;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Sends a fixed number of requests to daemons and prints the result as one JSON line. */
public final class LoadMain {
    private LoadMain() {}

    /** Runs the load; exits with code 1 on failure. */
    public static void main(String[] args) {
        LoadPlan plan = parsePlan(MainSupport.parse(parser(), args));
        Vertx vertx = MainSupport.createVertx();
        LoadClient.start(vertx, plan)
                .result()
                .onSuccess(result -> System.out.println(result.encode()))
                .onFailure(cause -> System.err.println("event=load_failed reason=\"" + cause.getMessage() + "\""))
                .onComplete(done -> System.exit(done.succeeded() ? 0 : 1));
    }

    private static ArgumentParser parser() {
        ArgumentParser parser =
                ArgumentParsers.newFor("load").build().description("Open-loop load client; loopback only");
        parser.addArgument("--daemon")
                .action(Arguments.append())
                .required(true)
                .help("base URL of a daemon's client port");
        parser.addArgument("--keyed")
                .action(Arguments.append())
                .setDefault(new ArrayList<>())
                .help("service for keyed requests");
        parser.addArgument("--keyless")
                .action(Arguments.append())
                .setDefault(new ArrayList<>())
                .help("service for keyless requests");
        MainSupport.intOption(parser, "--requests", 1_000, "number of requests");
        MainSupport.decimalOption(parser, "--rate", 200, "requests per second");
        MainSupport.intOption(parser, "--keys", 200, "distinct keys for each service");
        MainSupport.decimalOption(
                parser, "--post-share", 0.2, "fraction of requests that must be executed at most once");
        MainSupport.decimalOption(parser, "--keyless-share", 0.2, "fraction of requests without a key");
        MainSupport.intOption(parser, "--send-timeout-ms", 2_000, "time to wait for the response to one send");
        MainSupport.intOption(parser, "--request-timeout-ms", 10_000, "time within which a request may be retried");
        MainSupport.intOption(parser, "--retry-pause-ms", 50, "delay before a retry");
        parser.addArgument("--outcomes").help("file for one JSON line per request");
        MainSupport.intOption(parser, "--seed", 1, "seed of the random choices");
        return parser;
    }

    private static LoadPlan parsePlan(Namespace options) {
        return new LoadPlan(
                options.getList("daemon"),
                options.getList("keyed"),
                options.getList("keyless"),
                options.getInt("requests"),
                options.getDouble("rate"),
                options.getInt("keys"),
                options.getDouble("post_share"),
                options.getDouble("keyless_share"),
                Duration.ofMillis(options.getInt("send_timeout_ms")),
                Duration.ofMillis(options.getInt("request_timeout_ms")),
                Duration.ofMillis(options.getInt("retry_pause_ms")),
                Optional.ofNullable(options.getString("outcomes")).map(Path::of),
                options.getInt("seed"));
    }
}
