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
 * The platform's store over HTTP, at one or more base URLs.
 *
 * <p>Invariants: a write is sent to at most one URL, and to the next one only when it was certainly not sent; a write
 * whose response is lost, late or not understood is unknown, never a conflict. A URL that fails is left for the next one.
 * Thread-safe.
 */
public final class HttpPlatformStore implements PlatformStore, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(1);
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_CONNECTIONS = 8;
    private static final int MAX_WAITING = 64;
    private static final Pattern ENTITY_TAG = Pattern.compile("\"(\\d{1,18})\"");
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final int PRECONDITION_FAILED = 412;

    /** A response whose body has been read. */
    private record Answer(int status, Optional<String> entityTag, Buffer body) {}

    private final List<String> baseUrls;
    private final TimeSource time;
    private final HttpClient client;
    private final AtomicInteger preferred = new AtomicInteger();
    private final AtomicReference<Optional<ElapsedTimer>> lastResponse = new AtomicReference<>(Optional.empty());

    /**
     * Creates a client without connections.
     *
     * @param baseUrls base URLs of the same store, without a slash at the end, tried in order from the last one that worked
     */
    public HttpPlatformStore(Vertx vertx, List<String> baseUrls, TimeSource time) {
        if (baseUrls.isEmpty()) {
            throw new IllegalArgumentException("the platform needs at least one base URL");
        }
        this.baseUrls = List.copyOf(baseUrls);
        this.time = time;
        this.client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(MAX_WAITING));
    }

    @Override
    public Future<Optional<VersionedValue>> read(String key) {
        return send(PlatformRequest.read(key, RESPONSE_TIMEOUT)).map(answer -> value(answer, key));
    }

    @Override
    public Future<Optional<VersionedValue>> watch(String key, long revision, Duration wait) {
        return send(PlatformRequest.watch(key, revision, wait, RESPONSE_TIMEOUT))
                .map(answer -> value(answer, key));
    }

    @Override
    public Future<SwapOutcome> swap(String key, long expectedRevision, byte[] value) {
        return send(PlatformRequest.swap(key, expectedRevision, value, RESPONSE_TIMEOUT))
                .map(answer -> outcome(answer, key))
                .recover(failure -> recoverSwap(failure, key));
    }

    @Override
    public Optional<Duration> sinceLastResponse() {
        return lastResponse.get().map(timer -> timer.elapsed(time));
    }

    @Override
    public void close() {
        client.close();
    }

    private static Future<SwapOutcome> recoverSwap(Throwable failure, String key) {
        if (failure instanceof PlatformException known && known.certainty() == Certainty.NOT_SENT) {
            return Future.failedFuture(failure);
        }
        LOGGER.atWarning().log("event=platform_write_unknown key=%s reason=\"%s\"", key, failure.getMessage());
        return Future.succeededFuture(SwapOutcome.UNKNOWN);
    }

    private static SwapOutcome outcome(Answer answer, String key) {
        if (answer.status() == PRECONDITION_FAILED) {
            return SwapOutcome.CONFLICT;
        }
        Optional<Long> revision = answer.entityTag().flatMap(HttpPlatformStore::parseRevision);
        if (answer.status() == OK && revision.isPresent()) {
            return new SwapOutcome(SwapResult.APPLIED, revision.get());
        }
        LOGGER.atWarning().log("event=platform_write_unknown key=%s status=%d", key, answer.status());
        return SwapOutcome.UNKNOWN;
    }

    private static Optional<VersionedValue> value(Answer answer, String key) {
        if (answer.status() == NOT_FOUND || answer.status() == NOT_MODIFIED) {
            return Optional.empty();
        }
        Optional<Long> revision = answer.entityTag().flatMap(HttpPlatformStore::parseRevision);
        if (answer.status() != OK || revision.isEmpty()) {
            throw new PlatformException(
                    Certainty.MAY_HAVE_BEEN_SENT, "unexpected answer, key=" + key + " status=" + answer.status());
        }
        return Optional.of(new VersionedValue(revision.get(), answer.body().getBytes()));
    }

    private Future<Answer> send(PlatformRequest request) {
        return sendTo(preferred.get(), baseUrls.size(), request);
    }

    private Future<Answer> sendTo(int urlIndex, int urlsLeft, PlatformRequest request) {
        return attempt(baseUrls.get(urlIndex), request).recover(failure -> {
            int next = (urlIndex + 1) % baseUrls.size();
            preferred.compareAndSet(urlIndex, next);
            boolean mayHaveBeenSent = ((PlatformException) failure).certainty() == Certainty.MAY_HAVE_BEEN_SENT;
            if (urlsLeft <= 1 || request.isWrite() && mayHaveBeenSent) {
                return Future.failedFuture(failure);
            }
            return sendTo(next, urlsLeft - 1, request);
        });
    }

    private Future<Answer> attempt(String baseUrl, PlatformRequest request) {
        return client.request(request.optionsFor(baseUrl, CONNECT_TIMEOUT_MILLIS))
                .recover(failure -> fail(Certainty.NOT_SENT, baseUrl, failure))
                .compose(open -> exchange(open, request).recover(failure -> {
                    open.reset();
                    return fail(Certainty.MAY_HAVE_BEEN_SENT, baseUrl, failure);
                }));
    }

    private Future<Answer> exchange(HttpClientRequest open, PlatformRequest request) {
        return request.body()
                .map(open::send)
                .orElseGet(open::send)
                .compose(HttpPlatformStore::readAnswer)
                .timeout(request.timeout().toMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(answer -> lastResponse.set(Optional.of(ElapsedTimer.start(time))));
    }

    private static Future<Answer> readAnswer(HttpClientResponse response) {
        Optional<String> entityTag = Optional.ofNullable(response.getHeader(HttpHeaders.ETAG));
        return response.body().map(body -> new Answer(response.statusCode(), entityTag, body));
    }

    private static <T> Future<T> fail(Certainty certainty, String baseUrl, Throwable cause) {
        return Future.failedFuture(new PlatformException(certainty, baseUrl + ": " + cause));
    }

    private static Optional<Long> parseRevision(String entityTag) {
        Matcher matcher = ENTITY_TAG.matcher(entityTag);
        return matcher.matches() ? Optional.of(Long.valueOf(matcher.group(1))) : Optional.empty();
    }
}
