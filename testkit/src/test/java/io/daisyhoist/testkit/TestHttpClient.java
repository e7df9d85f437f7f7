package io.daisyhoist.testkit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/** Blocking HTTP calls for tests. Thread-safe. */
public final class TestHttpClient {
    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();

    private TestHttpClient() {}

    /** Sends a request; headers alternate between names and values. */
    public static HttpResponse<String> send(String method, String url, String body, String... headers) {
        try {
            return CLIENT.send(request(method, url, body, headers), BodyHandlers.ofString());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request asynchronously. */
    public static CompletableFuture<HttpResponse<String>> sendAsync(
            String method, String url, String body, String... headers) {
        return CLIENT.sendAsync(request(method, url, body, headers), BodyHandlers.ofString());
    }

    private static HttpRequest request(String method, String url, String body, String... headers) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(url))
                .timeout(Duration.ofSeconds(10))
                .method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
        return headers.length == 0 ? builder.build() : builder.headers(headers).build();
    }
}
