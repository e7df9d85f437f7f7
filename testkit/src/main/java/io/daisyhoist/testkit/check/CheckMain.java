package io.daisyhoist.testkit.check;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import io.daisyhoist.testkit.backend.Execution;
import io.daisyhoist.testkit.launch.MainSupport;
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
 * Checks execution logs against request outcomes; prints the counts as one JSON line and the violations to standard
 * error.
 *
 * <p>Exits with code 0 only if all logs were read and no violation was found, otherwise with code 1.
 */
public final class CheckMain {
    private static final long TIMEOUT_MILLIS = 5_000;

    private CheckMain() {}

    /** Runs the check. */
    public static void main(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("check").build().description("Checks the execution logs of a load run");
        parser.addArgument("--backend-admin")
                .action(Arguments.append())
                .required(true)
                .help("admin URL of a simulated backend server");
        parser.addArgument("--outcomes").required(true).help("outcome file of the load client");
        Namespace options = MainSupport.parse(parser, args);
        Vertx vertx = MainSupport.createVertx();
        readExecutionLogs(vertx, options.getList("backend_admin"))
                .map(logs -> ExecutionCheck.check(logs, readOutcomes(Path.of(options.getString("outcomes")))))
                .onSuccess(CheckMain::printAndExit)
                .onFailure(cause -> {
                    System.err.println("event=check_failed reason=\"" + cause.getMessage() + "\"");
                    System.exit(1);
                });
    }

    /** Reads the execution logs from the admin ports of the simulated backend servers. */
    public static Future<List<BackendExecutions>> readExecutionLogs(Vertx vertx, List<String> adminUrls) {
        Future<List<BackendExecutions>> logs = Future.succeededFuture(new ArrayList<>());
        for (String url : adminUrls) {
            logs = logs.compose(result -> readExecutionLog(vertx, url).map(log -> {
                result.add(log);
                return result;
            }));
        }
        return logs;
    }

    /** Reads the outcome file that the load client wrote. */
    public static List<RequestOutcome> readOutcomes(Path file) {
        try (Stream<String> lines = Files.lines(file)) {
            return lines.map(RequestOutcome::parse).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Future<BackendExecutions> readExecutionLog(Vertx vertx, String adminUrl) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(adminUrl + "/admin/executions")
                .setTimeout(TIMEOUT_MILLIS);
        return vertx.createHttpClient()
                .request(options)
                .compose(request -> request.send())
                .compose(response -> response.body())
                .map(body -> new BackendExecutions(adminUrl, parseExecutions(body)));
    }

    private static List<Execution> parseExecutions(Buffer body) {
        return new JsonArray(body)
                .stream()
                        .map(JsonObject.class::cast)
                        .map(entry -> entry.mapTo(Execution.class))
                        .toList();
    }

    private static void printAndExit(CheckReport report) {
        System.out.println(report.toJson().encode());
        System.err.println(report.describe());
        System.exit(report.isClean() ? 0 : 1);
    }
}
