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

/** Waits until all URLs answer 200; exits with code 1 and names those that do not if the time runs out. */
public final class WaitMain {
    private static final long POLL_MILLIS = 100;
    private static final long CALL_TIMEOUT_MILLIS = 1_000;

    private WaitMain() {}

    /** Waits. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("wait").build().description("Waits until all URLs answer 200");
        StandIn.intOption(parser, "--timeout-ms", 20_000, "longest wait");
        parser.addArgument("url").nargs("+");
        Namespace options = StandIn.parse(parser, args);
        Vertx vertx = StandIn.vertx();
        untilReady(vertx, options.getList("url"), Duration.ofMillis(options.getInt("timeout_ms")))
                .onSuccess(late -> {
                    late.forEach(url -> System.err.println("event=not_ready url=" + url));
                    System.exit(late.isEmpty() ? 0 : 1);
                });
    }

    /** Polls the URLs; the result names those that did not answer 200 in time. */
    public static Future<List<String>> untilReady(Vertx vertx, List<String> urls, Duration timeout) {
        HttpClient client = vertx.createHttpClient();
        List<Future<Boolean>> polls = new ArrayList<>();
        long endNanos = System.nanoTime() + timeout.toNanos();
        urls.forEach(url -> polls.add(poll(vertx, client, url, endNanos)));
        return Future.join(polls).map(done -> {
            List<String> late = new ArrayList<>();
            for (int i = 0; i < urls.size(); i++) {
                if (!polls.get(i).result()) {
                    late.add(urls.get(i));
                }
            }
            return late;
        });
    }

    private static Future<Boolean> poll(Vertx vertx, HttpClient client, String url, long endNanos) {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.GET)
                .setAbsoluteURI(url)
                .setTimeout(CALL_TIMEOUT_MILLIS);
        return client.request(options)
                .compose(request -> request.send())
                .map(response -> response.statusCode() == 200)
                .otherwise(false)
                .compose(ready -> {
                    if (ready || System.nanoTime() - endNanos >= 0) {
                        return Future.succeededFuture(ready);
                    }
                    return vertx.timer(POLL_MILLIS, TimeUnit.MILLISECONDS)
                            .compose(fired -> poll(vertx, client, url, endNanos));
                });
    }
}
