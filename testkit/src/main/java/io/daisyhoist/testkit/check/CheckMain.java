package io.daisyhoist.testkit.check;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.daisyhoist.testkit.backend.Execution;
import io.daisyhoist.testkit.launch.StandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Checks execution logs against outcomes; prints the counts as one JSON line and the cases to standard error.
 *
 * <p>Exits with code 0 only if all logs were read and no violation was found.
 */
public final class CheckMain {
    private static final long TIMEOUT_MILLIS = 5_000;

    private CheckMain() {}

    /** Runs the check. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("check").build().description("Independent check of a load run");
        parser.addArgument("--backend-admin")
                .action(Arguments.append())
                .required(true)
                .help("admin URL of a backend server stand-in");
        parser.addArgument("--outcomes").required(true).help("outcome file of the load client");
        Namespace options = StandIn.parse(parser, args);
        Vertx vertx = StandIn.vertx();
        readLogs(vertx, options.getList("backend_admin"))
                .map(logs -> ExecutionCheck.examine(logs, readOutcomes(Path.of(options.getString("outcomes")))))
                .onSuccess(CheckMain::report)
                .onFailure(cause -> {
                    System.err.println("event=check_failed reason=\"" + cause.getMessage() + "\"");
                    System.exit(1);
                });
    }

    /** Reads the execution logs from the admin interfaces. */
    public static Future<List<RunLog>> readLogs(Vertx vertx, List<String> adminUrls) {
        Future<List<RunLog>> logs = Future.succeededFuture(new ArrayList<>());
        for (String url : adminUrls) {
            logs = logs.compose(read -> readLog(vertx, url).map(log -> {
                read.add(log);
                return read;
            }));
        }
        return logs;
    }

    /** Reads the outcome file of the load client. */
    public static List<Outcome> readOutcomes(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(Outcome::parse).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Future<RunLog> readLog(Vertx vertx, String adminUrl) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(adminUrl + "/admin/executions")
                .setTimeout(TIMEOUT_MILLIS);
        return vertx.createHttpClient()
                .request(options)
                .compose(request -> request.send())
                .compose(response -> response.body())
                .map(body -> new RunLog(adminUrl, parse(body)));
    }

    private static List<Execution> parse(Buffer body) {
        return new JsonArray(body)
                .stream()
                        .map(JsonObject.class::cast)
                        .map(entry -> entry.mapTo(Execution.class))
                        .toList();
    }

    private static void report(Findings findings) {
        System.out.println(findings.toJson().encode());
        System.err.println(findings.describe());
        System.exit(findings.isClean() ? 0 : 1);
    }
}
