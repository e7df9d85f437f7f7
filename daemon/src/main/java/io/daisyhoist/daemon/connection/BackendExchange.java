package io.daisyhoist.daemon.connection;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BackendResult.Answered;
import io.daisyhoist.daemon.connection.BackendResult.NotWritten;
import io.daisyhoist.daemon.connection.BackendResult.NotWrittenReason;
import io.daisyhoist.daemon.connection.BackendResult.StaleFence;
import io.daisyhoist.daemon.connection.BackendResult.Unknown;
import io.daisyhoist.daemon.connection.BackendResult.UnknownReason;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.http.ConnectionPoolTooBusyException;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;

/**
 * One request to the backend server and its result.
 *
 * <p>Invariant: the phase leaves {@code WAITING} once, either to {@code WRITTEN} immediately before the write or to
 * {@code ENDED} without a write; only the former allows a result other than {@link NotWritten}; no request is written to a
 * connection on which a backend server has refused an earlier one. Runs on the client's
 * event loop; {@link #cancel} may be called from any thread.
 */
final class BackendExchange implements BackendCall {
    /** Maximum size of a response body; with its headers, it must fit into a frame between daemons. */
    static final int MAX_RESPONSE_BYTES = 1 << 20;

    private static final int PRECONDITION_FAILED = 412;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Time for the rest of a refusal to arrive. */
    private static final Duration RETIRE_TIMEOUT = Duration.ofSeconds(1);

    private enum Phase {
        WAITING,
        WRITTEN,
        ENDED
    }

    private final Context context;
    private final HttpClient client;
    private final Endpoint backend;
    private final BackendRequest request;
    private final BooleanSupplier preWriteCheck;
    private final TimeSource time;
    private final String requestId = UUID.randomUUID().toString();
    private final Promise<BackendResult> result = Promise.promise();
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    private volatile Optional<HttpClientRequest> openRequest = Optional.empty();

    BackendExchange(
            Context context,
            HttpClient client,
            Endpoint backend,
            BackendRequest request,
            BooleanSupplier preWriteCheck,
            TimeSource time) {
        this.context = context;
        this.client = client;
        this.backend = backend;
        this.request = request;
        this.preWriteCheck = preWriteCheck;
        this.time = time;
    }

    @Override
    public Future<BackendResult> result() {
        return result.future();
    }

    @Override
    public void cancel() {
        context.runOnContext(now -> {
            endBeforeWrite(NotWrittenReason.CANCELLED, "cancelled before the write");
            endAfterWrite(UnknownReason.CANCELLED, "cancelled after the write");
        });
    }

    void start() {
        long remainingMillis = request.deadline().remaining(time).toMillis();
        if (remainingMillis < 1) {
            endBeforeWrite(NotWrittenReason.DEADLINE, "deadline has passed");
            return;
        }
        long timer = context.owner().setTimer(remainingMillis, fired -> {
            endBeforeWrite(NotWrittenReason.DEADLINE, "no connection before the deadline");
            endAfterWrite(UnknownReason.DEADLINE, "no complete response before the deadline");
        });
        result.future().onComplete(done -> context.owner().cancelTimer(timer));
        try {
            // Without the timeout, a request whose caller no longer waits would keep its place in the pool's wait
            // queue.
            RequestOptions options = options().setConnectTimeout(remainingMillis);
            client.request(options).onSuccess(this::write).onFailure(this::onConnectFailure);
        } catch (IllegalArgumentException e) {
            endBeforeWrite(NotWrittenReason.INVALID_REQUEST, String.valueOf(e.getMessage()));
        }
    }

    private RequestOptions options() {
        RequestOptions options = new RequestOptions()
                .setHost(backend.host())
                .setPort(backend.port())
                .setMethod(HttpMethod.valueOf(request.method()))
                .setURI(request.path());
        request.headers().forEach(field -> options.addHeader(field.name(), field.value()));
        request.fencingToken().ifPresent(fencingToken -> options.putHeader(DaisyhoistHeaders.FENCE, fencingToken));
        return options;
    }

    private void onConnectFailure(Throwable failure) {
        NotWrittenReason reason = failure instanceof ConnectionPoolTooBusyException
                ? NotWrittenReason.POOL_EXHAUSTED
                : NotWrittenReason.CONNECTION_REFUSED;
        endBeforeWrite(reason, String.valueOf(failure.getMessage()));
    }

    private void write(HttpClientRequest httpRequest) {
        openRequest = Optional.of(httpRequest);
        long remainingMillis = request.deadline().remaining(time).toMillis();
        httpRequest.putHeader(DaisyhoistHeaders.REQUEST_ID, requestId);
        httpRequest.putHeader(DaisyhoistHeaders.DEADLINE_MS, Long.toString(remainingMillis));
        if (!preWriteCheckPasses()) {
            endBeforeWrite(NotWrittenReason.LAST_CHECK, "refused by the check before the write");
        }
        if (!phase.compareAndSet(Phase.WAITING, Phase.WRITTEN)) {
            httpRequest.reset();
            return;
        }
        httpRequest
                .send(request.body())
                .compose(this::read)
                .onSuccess(this::end)
                .onFailure(failure -> endAfterWrite(unknownReasonOf(failure), String.valueOf(failure.getMessage())));
    }

    private boolean preWriteCheckPasses() {
        try {
            return preWriteCheck.getAsBoolean();
        } catch (RuntimeException e) {
            return false;
        }
    }

    private Future<BackendResult> read(HttpClientResponse response) {
        if (ResponseHeads.containsStatusLine(response)) {
            return reject(response, UnknownReason.FOREIGN_RESPONSE, "response head contains another status line");
        }
        List<String> echoedIds = response.headers().getAll(DaisyhoistHeaders.REQUEST_ID);
        if (!echoedIds.isEmpty() && !echoedIds.equals(List.of(requestId))) {
            return reject(response, UnknownReason.FOREIGN_RESPONSE, "response to requests " + echoedIds);
        }
        if (!ResponseHeads.isFinal(response.statusCode())) {
            UnknownReason reason = ResponseHeads.isInterim(response.statusCode())
                    ? UnknownReason.INFORMATIONAL_RESPONSE
                    : UnknownReason.INVALID_RESPONSE;
            return reject(response, reason, "status " + response.statusCode());
        }
        boolean staleFence = response.statusCode() == PRECONDITION_FAILED
                && "true".equalsIgnoreCase(response.getHeader(DaisyhoistHeaders.STALE_FENCE));
        if (staleFence || response.statusCode() == SERVICE_UNAVAILABLE) {
            retire(response.request().connection());
        }
        List<HttpField> headers = HopByHopHeaders.endToEnd(response.headers());
        return BoundedBody.read(response, MAX_RESPONSE_BYTES)
                .map(body -> staleFence ? new StaleFence() : new Answered(response.statusCode(), headers, body));
    }

    /**
     * Ends the exchange and closes the connection, because what follows on it may belong to another request too. Resetting
     * the request would not close a connection whose response has ended.
     */
    private <T> Future<T> reject(HttpClientResponse response, UnknownReason reason, String message) {
        endAfterWrite(reason, message);
        response.request().connection().close();
        return Future.failedFuture(message);
    }

    /**
     * Closes a connection after the current response. A backend server that wrote a refusal once more would otherwise make
     * the next request on it look refused, although it runs.
     */
    private static void retire(HttpConnection connection) {
        connection.shutdown(RETIRE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private static UnknownReason unknownReasonOf(Throwable failure) {
        if (failure instanceof BoundedBody.TooLargeException) {
            return UnknownReason.RESPONSE_TOO_LARGE;
        }
        if (failure instanceof IllegalArgumentException) {
            // The HTTP decoder has failed, and the connection is closed.
            return UnknownReason.INVALID_RESPONSE;
        }
        return failure instanceof TimeoutException ? UnknownReason.DEADLINE : UnknownReason.CONNECTION_LOST;
    }

    private void end(BackendResult received) {
        if (phase.compareAndSet(Phase.WRITTEN, Phase.ENDED)) {
            result.complete(received);
        }
    }

    private void endBeforeWrite(NotWrittenReason reason, String message) {
        if (phase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            result.complete(new NotWritten(reason, message));
        }
    }

    private void endAfterWrite(UnknownReason reason, String message) {
        if (phase.compareAndSet(Phase.WRITTEN, Phase.ENDED)) {
            openRequest.ifPresent(HttpClientRequest::reset);
            result.complete(new Unknown(reason, message));
        }
    }
}
