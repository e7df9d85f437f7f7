package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.membership.SwapResult;
import io.daisyhoist.core.time.ElapsedTimer;
import io.daisyhoist.core.time.TimeSource;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.PoolOptions;

/**
 * HTTP client of the platform's store, with failover between one or more base URLs.
 *
 * <p>Invariants: a write is sent to another URL only if it was certainly not sent before; a write whose response is
 * lost, late or invalid has an unknown outcome, never a conflict; a response that is not one final message is invalid, and
 * its connection is closed. After a failure, the client switches to the next URL. Thread-safe.
 */
public final class HttpPlatformStore implements PlatformStore, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_WAIT_QUEUE_SIZE = 64;
    private static final Pattern ENTITY_TAG = Pattern.compile("\"(\\d{1,18})\"");
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;

    /** A response whose body has been read. */
    private record StoreResponse(int status, Optional<String> entityTag, Buffer body) {}

    private final List<String> baseUrls;
    private final TimeSource time;
    private final HttpClient client;
    private final AtomicInteger preferredUrlIndex = new AtomicInteger();
    private final AtomicReference<Optional<ElapsedTimer>> lastResponse = new AtomicReference<>(Optional.empty());

    /**
     * Creates a client without connections.
     *
     * @param baseUrls base URLs of the same store, without a trailing slash; tried in order, starting with the last one
     *     that worked
     */
    public HttpPlatformStore(Vertx vertx, List<String> baseUrls, TimeSource time) {
        if (baseUrls.isEmpty()) {
            throw new IllegalArgumentException("at least one platform base URL is required");
        }
        this.baseUrls = List.copyOf(baseUrls);
        this.time = time;
        this.client = WatchedHttpClients.createClient(
                vertx,
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAIT_QUEUE_SIZE));
    }

    @Override
    public Future<Optional<VersionedValue>> read(String key) {
        return send(PlatformRequest.read(key, RESPONSE_TIMEOUT))
                .map(storeResponse -> toVersionedValue(storeResponse, key));
    }

    @Override
    public Future<Optional<VersionedValue>> watch(String key, long revision, Duration wait) {
        return send(PlatformRequest.watch(key, revision, wait, RESPONSE_TIMEOUT))
                .map(storeResponse -> toVersionedValue(storeResponse, key));
    }

    @Override
    public Future<SwapOutcome> swap(String key, long expectedRevision, byte[] value) {
        return send(PlatformRequest.swap(key, expectedRevision, value, RESPONSE_TIMEOUT))
                .map(storeResponse -> toSwapOutcome(storeResponse, key))
                .recover(failure -> recoverSwap(failure, key));
    }

    @Override
    public Optional<Duration> timeSinceLastResponse() {
        return lastResponse.get().map(timer -> timer.elapsed(time));
    }

    @Override
    public void close() {
        client.close();
    }

    private static Future<SwapOutcome> recoverSwap(Throwable failure, String key) {
        if (failure instanceof PlatformException platformFailure
                && platformFailure.certainty() == DeliveryCertainty.NOT_SENT) {
            return Future.failedFuture(failure);
        }
        LOGGER.atWarning().log("event=platform_write_unknown key=%s reason=\"%s\"", key, failure.getMessage());
        return Future.succeededFuture(SwapOutcome.UNKNOWN);
    }

    private static SwapOutcome toSwapOutcome(StoreResponse storeResponse, String key) {
        if (storeResponse.status() == PRECONDITION_FAILED) {
            return SwapOutcome.CONFLICT;
        }
        Optional<Long> revision = storeResponse.entityTag().flatMap(HttpPlatformStore::parseRevision);
        if (storeResponse.status() == OK && revision.isPresent()) {
            return new SwapOutcome(SwapResult.APPLIED, revision.get());
        }
        LOGGER.atWarning().log("event=platform_write_unknown key=%s status=%d", key, storeResponse.status());
        return SwapOutcome.UNKNOWN;
    }

    private static Optional<VersionedValue> toVersionedValue(StoreResponse storeResponse, String key) {
        if (storeResponse.status() == NOT_FOUND || storeResponse.status() == NOT_MODIFIED) {
            return Optional.empty();
        }
        Optional<Long> revision = storeResponse.entityTag().flatMap(HttpPlatformStore::parseRevision);
        if (storeResponse.status() != OK || revision.isEmpty()) {
            throw new PlatformException(
                    DeliveryCertainty.MAY_HAVE_BEEN_SENT,
                    "unexpected response, key=" + key + " status=" + storeResponse.status());
        }
        return Optional.of(
                new VersionedValue(revision.get(), storeResponse.body().getBytes()));
    }

    private Future<StoreResponse> send(PlatformRequest request) {
        return sendWithFailover(preferredUrlIndex.get(), baseUrls.size(), request);
    }

    private Future<StoreResponse> sendWithFailover(int urlIndex, int remainingUrls, PlatformRequest request) {
        return sendOnce(baseUrls.get(urlIndex), request).recover(failure -> {
            int nextIndex = (urlIndex + 1) % baseUrls.size();
            preferredUrlIndex.compareAndSet(urlIndex, nextIndex);
            boolean mayHaveBeenSent = ((PlatformException) failure).certainty() == DeliveryCertainty.MAY_HAVE_BEEN_SENT;
            if (remainingUrls <= 1 || request.isWrite() && mayHaveBeenSent) {
                return Future.failedFuture(failure);
            }
            return sendWithFailover(nextIndex, remainingUrls - 1, request);
        });
    }

    private Future<StoreResponse> sendOnce(String baseUrl, PlatformRequest request) {
        return client.request(request.optionsFor(baseUrl, CONNECT_TIMEOUT_MILLIS))
                .recover(failure -> toFailedFuture(DeliveryCertainty.NOT_SENT, baseUrl, failure))
                .compose(httpRequest -> exchange(httpRequest, request).recover(failure -> {
                    httpRequest.reset();
                    return toFailedFuture(DeliveryCertainty.MAY_HAVE_BEEN_SENT, baseUrl, failure);
                }));
    }

    private Future<StoreResponse> exchange(HttpClientRequest httpRequest, PlatformRequest request) {
        return request.body()
                .map(httpRequest::send)
                .orElseGet(httpRequest::send)
                .compose(HttpPlatformStore::readResponse)
                .timeout(request.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(storeResponse -> lastResponse.set(Optional.of(ElapsedTimer.start(time))));
    }

    private static Future<StoreResponse> readResponse(HttpClientResponse response) {
        List<String> entityTags = response.headers().getAll(HttpHeaders.ETAG);
        boolean consistsOfTwo = ResponseHeads.containsStatusLine(response) || entityTags.size() > 1;
        if (consistsOfTwo || !ResponseHeads.isFinal(response.statusCode())) {
            // Resetting the request does not close a connection whose response has ended.
            response.request().connection().close();
            return Future.failedFuture("not one final response, status=" + response.statusCode());
        }
        Optional<String> entityTag = entityTags.stream().findFirst();
        return response.body().map(body -> new StoreResponse(response.statusCode(), entityTag, body));
    }

    private static <T> Future<T> toFailedFuture(DeliveryCertainty certainty, String baseUrl, Throwable cause) {
        return Future.failedFuture(new PlatformException(certainty, baseUrl + ": " + cause));
    }

    private static Optional<Long> parseRevision(String entityTag) {
        Matcher matcher = ENTITY_TAG.matcher(entityTag);
        return matcher.matches() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
    }
}
