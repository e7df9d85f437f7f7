package io.daisyhoist.testkit.launch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Waits until all URLs respond with status 200; on a timeout, prints the URLs that do not and exits with code 1. */
public final class WaitMain {
    private static final long POLL_INTERVAL_MILLIS = 100;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private WaitMain() {}

    /** Polls the URLs given on the command line. */
    public static void main(String[] args) {
        ArgumentParser parser =
                ArgumentParsers.newFor("wait").build().description("Waits until all URLs respond with status 200");
        MainSupport.intOption(parser, "--timeout-ms", 20_000, "maximum time to wait");
        parser.addArgument("url").nargs("+");
        Namespace options = MainSupport.parse(parser, args);
        Vertx vertx = MainSupport.createVertx();
        waitUntilReady(vertx, options.getList("url"), Duration.ofMillis(options.getInt("timeout_ms")))
                .onSuccess(notReady -> {
                    notReady.forEach(url -> System.err.println("event=not_ready url=" + url));
                    System.exit(notReady.isEmpty() ? 0 : 1);
                });
    }

    /** Polls the URLs; the result contains those that did not respond with status 200 in time. */
    public static Future<List<String>> waitUntilReady(Vertx vertx, List<String> urls, Duration timeout) {
        HttpClient client = vertx.createHttpClient();
        List<Future<Boolean>> polls = new ArrayList<>();
        long deadlineNanos = System.nanoTime() + timeout.toNanos();
        urls.forEach(url -> polls.add(poll(vertx, client, url, deadlineNanos)));
        return Future.join(polls).map(done -> {
            List<String> notReady = new ArrayList<>();
            for (int i = 0; i < urls.size(); i++) {
                if (!polls.get(i).result()) {
                    notReady.add(urls.get(i));
                }
            }
            return notReady;
        });
    }

    private static Future<Boolean> poll(Vertx vertx, HttpClient client, String url, long deadlineNanos) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(url)
                .setTimeout(CALL_TIMEOUT_MILLIS);
        return client.request(options)
                .compose(request -> request.send())
                .map(response -> response.statusCode() == 200)
                .otherwise(false)
                .compose(ready -> {
                    if (ready || System.nanoTime() - deadlineNanos >= 0) {
                        return Future.succeededFuture(ready);
                    }
                    return vertx.timer(POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
                            .compose(ignored -> poll(vertx, client, url, deadlineNanos));
                });
    }
}
