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

/**
 * HTTP client with blocking calls and a timeout for each. Used on the main thread only.
 *
 * <p>Each call opens its own connection: the responses have no ids, so that on a kept connection a second answer to an
 * earlier call could not be told from the answer to the current one.
 */
public final class BlockingHttpClient implements AutoCloseable {
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final Duration timeout;
    private Optional<VertxResources> resources = Optional.empty();

    private record VertxResources(Vertx vertx, WebClient client) {}

    public BlockingHttpClient(Duration timeout) {
        this.timeout = timeout;
    }

    /**
     * Creates the resources at the first call, because Vert.x takes most of the start-up time and local commands make
     * no calls.
     */
    private VertxResources resources() {
        if (resources.isEmpty()) {
            resources = Optional.of(createResources());
        }
        return resources.get();
    }

    private VertxResources createResources() {
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
                        .setKeepAlive(false)
                        .setFollowRedirects(false)
                        .setUserAgent("daisyhoist"));
        return new VertxResources(vertx, client);
    }

    /**
     * Sends one request without retries, because the caller must know how often a write was sent.
     *
     * @throws NoResponseException if there is no complete response within the timeout
     */
    public HttpResponse<Buffer> send(HttpMethod method, URI url, Map<String, String> headers, Optional<String> body) {
        HttpRequest<Buffer> request =
                resources().client().requestAbs(method, url.toString()).timeout(timeout.toMillis());
        headers.forEach(request::putHeader);
        Future<HttpResponse<Buffer>> response =
                body.map(text -> request.sendBuffer(Buffer.buffer(text))).orElseGet(request::send);
        try {
            HttpResponse<Buffer> received = response.toCompletionStage()
                    .toCompletableFuture()
                    .get(2 * timeout.toMillis(), TimeUnit.MILLISECONDS);
            if (received.statusCode() < FIRST_FINAL_STATUS || received.statusCode() > LAST_STATUS) {
                throw new NoResponseException(url + ": invalid status " + received.statusCode());
            }
            return received;
        } catch (ExecutionException e) {
            boolean refused = e.getCause() instanceof ConnectException;
            String reason = refused ? "connection refused" : errorMessage(e.getCause());
            throw new NoResponseException(url + ": " + reason, !refused, e);
        } catch (TimeoutException e) {
            throw new NoResponseException(url + ": no response in time", true, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new NoResponseException(url + ": interrupted", true, e);
        }
    }

    @Override
    public void close() {
        resources.ifPresent(BlockingHttpClient::close);
    }

    private static void close(VertxResources resources) {
        resources.client().close();
        try {
            resources
                    .vertx()
                    .close()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .get(CLOSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException | TimeoutException e) {
            // The process exits next, which closes its connections.
            return;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String errorMessage(Throwable cause) {
        String message = cause.getMessage();
        return message == null
                ? cause.getClass().getSimpleName()
                : message.lines().findFirst().orElse("");
    }
}
