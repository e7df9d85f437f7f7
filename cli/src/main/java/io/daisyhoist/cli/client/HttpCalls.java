package io.daisyhoist.cli.client;

import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.HttpRequest;
import io.vertx.ext.web.client.HttpResponse;
import io.vertx.ext.web.client.WebClient;
import io.vertx.ext.web.client.WebClientOptions;

/** Blocking HTTP calls, each with a bound on its time. Used by the tool's main thread only. */
public final class HttpCalls implements AutoCloseable {
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final Duration timeout;
    private Optional<Connections> connections = Optional.empty();

    private record Connections(Vertx vertx, WebClient client) {}

    public HttpCalls(Duration timeout) {
        this.timeout = timeout;
    }

    /** Opened at the first call, because it takes most of the start time and local commands call nobody. */
    private Connections connections() {
        if (connections.isEmpty()) {
            connections = Optional.of(open());
        }
        return connections.get();
    }

    private Connections open() {
        Vertx vertx = Vertx.vertx(new VertxOptions()
                .setEventLoopPoolSize(1)
                .setWorkerPoolSize(1)
                .setInternalBlockingPoolSize(1)
                .setFileSystemOptions(
                        new FileSystemOptions().setFileCachingEnabled(false).setClassPathResolvingEnabled(false)));
        WebClient client = WebClient.create(
                vertx,
                new WebClientOptions()
                        .setConnectTimeout((int) timeout.toMillis())
                        .setFollowRedirects(false)
                        .setUserAgent("daisyhoist"));
        return new Connections(vertx, client);
    }

    /**
     * Makes one call; it is never repeated here, because the caller must know how often a write was sent.
     *
     * @throws UnansweredCallException when there is no complete response in time
     */
    public HttpResponse<Buffer> call(HttpMethod method, URI url, Map<String, String> headers, Optional<String> body) {
        HttpRequest<Buffer> request =
                connections().client().requestAbs(method, url.toString()).timeout(timeout.toMillis());
        headers.forEach(request::putHeader);
        Future<HttpResponse<Buffer>> response =
                body.map(text -> request.sendBuffer(Buffer.buffer(text))).orElseGet(request::send);
        try {
            return response.toCompletionStage()
                    .toCompletableFuture()
                    .get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            boolean refused = e.getCause() instanceof ConnectException;
            String reason = refused ? "connection refused" : reason(e.getCause());
            throw new UnansweredCallException(url + ": " + reason, !refused, e);
        } catch (TimeoutException e) {
            throw new UnansweredCallException(url + ": no response in time", true, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new UnansweredCallException(url + ": interrupted", true, e);
        }
    }

    @Override
    public void close() {
        connections.ifPresent(HttpCalls::close);
    }

    private static void close(Connections connections) {
        connections.client().close();
        try {
            connections
                    .vertx()
                    .close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // The process ends next, and its connections with it.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String reason(Throwable cause) {
        String message = cause.getMessage();
        return message == null
                ? cause.getClass().getSimpleName()
                : message.lines().findFirst().orElse("");
    }
}
