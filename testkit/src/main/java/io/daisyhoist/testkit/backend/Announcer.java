package io.daisyhoist.testkit.backend;

import java.util.function.Supplier;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * Announces the backend server to its daemon at the start and then every second. Confined to one event loop.
 *
 * <p>A failed announcement is repeated at the next interval, because the daemon may start later than the backend
 * server.
 */
final class Announcer {
    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 900;

    private final Vertx vertx;
    private final String daemonAdmin;
    private final Supplier<JsonObject> announcement;
    private final HttpClient client;
    private long timerId = -1;

    Announcer(Vertx vertx, String daemonAdmin, Supplier<JsonObject> announcement) {
        this.vertx = vertx;
        this.daemonAdmin = daemonAdmin;
        this.announcement = announcement;
        this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) TIMEOUT_MILLIS));
    }

    void start() {
        send();
        timerId = vertx.setPeriodic(INTERVAL_MILLIS, fired -> send());
    }

    void stop() {
        vertx.cancelTimer(timerId);
    }

    void send() {
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(daemonAdmin + "/v1/announce")
                .setTimeout(TIMEOUT_MILLIS)
                .putHeader("Content-Type", "application/json");
        client.request(options)
                .compose(request -> request.send(announcement.get().toBuffer()))
                .compose(response -> response.body().map(response.statusCode()))
                .onSuccess(Announcer::logIfRejected);
    }

    private static void logIfRejected(int status) {
        if (status >= 300) {
            System.err.println("event=announcement_refused status=" + status);
        }
    }
}
