package io.daisyhoist.mesh.connection;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.HopByHopHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.mesh.connection.BackendAnswer.Answered;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRun;
import io.daisyhoist.mesh.connection.BackendAnswer.NotRunReason;
import io.daisyhoist.mesh.connection.BackendAnswer.Unknown;
import io.daisyhoist.mesh.connection.BackendAnswer.UnknownReason;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;

/**
 * One request to the backend server and its answer.
 *
 * <p>Invariant: the phase leaves {@code WAITING} once, either to {@code WRITTEN} immediately before the write or to
 * {@code ENDED} without a write. Confined to the traffic event loop.
 */
final class BackendHttpExchange {
    private static final int MISDIRECTED = 421;

    private enum Phase {
        WAITING,
        WRITTEN,
        ENDED
    }

    private final Context context;
    private final HttpClient client;
    private final HeaderNames names;
    private final TimeSource time;
    private final Endpoint backend;
    private final BackendRequestData request;
    private final BackendHttpClient.Observer observer;
    private final Promise<BackendAnswer> result = Promise.promise();
    private Phase phase = Phase.WAITING;
    private Optional<HttpClientRequest> stream = Optional.empty();

    /**
     * What all exchanges of a client share. Immutable.
     *
     * @param context the traffic event loop
     * @param client connections to the backend server
     * @param names names of header fields
     * @param time clock
     */
    record Environment(Context context, HttpClient client, HeaderNames names, TimeSource time) {}

    BackendHttpExchange(
            Environment environment,
            Endpoint backend,
            BackendRequestData request,
            BackendHttpClient.Observer observer) {
        this.context = environment.context();
        this.client = environment.client();
        this.names = environment.names();
        this.time = environment.time();
        this.backend = backend;
        this.request = request;
        this.observer = observer;
    }

    Future<BackendAnswer> result() {
        return result.future();
    }

    void cancel() {
        endUnwritten(NotRunReason.CANCELLED);
        endWritten(UnknownReason.CANCELLED);
    }

    void start() {
        long remainingMillis = request.deadline().remaining(time).toMillis();
        if (remainingMillis < 1) {
            endUnwritten(NotRunReason.DEADLINE);
            return;
        }
        long timer = context.owner().setTimer(remainingMillis, fired -> {
            endUnwritten(NotRunReason.DEADLINE);
            endWritten(UnknownReason.DEADLINE);
        });
        result.future().onComplete(done -> context.owner().cancelTimer(timer));
        RequestOptions options = new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(backend.port(), backend.host()))
                .setHost(backend.host())
                .setPort(backend.port())
                .setMethod(HttpMethod.valueOf(request.method()))
                .setURI(request.uri());
        client.request(options).onSuccess(this::write).onFailure(failure -> endUnwritten(NotRunReason.UNREACHABLE));
    }

    private void write(HttpClientRequest open) {
        stream = Optional.of(open);
        if (phase == Phase.WAITING && !observer.mayBeWritten()) {
            endUnwritten(NotRunReason.WRONG_BACKEND);
        }
        if (phase != Phase.WAITING) {
            open.reset();
            return;
        }
        phase = Phase.WRITTEN;
        setHeaders(open);
        observer.onWritten();
        Future<HttpClientResponse> sent = hasBody() ? open.send(request.body()) : open.send();
        sent.compose(this::read).onFailure(failure -> endWritten(UnknownReason.CONNECTION_LOST));
    }

    private boolean hasBody() {
        return request.body().length() > 0 || request.headers().stream().anyMatch(this::announcesBody);
    }

    private boolean announcesBody(HttpField field) {
        return field.name().equalsIgnoreCase("content-type");
    }

    private void setHeaders(HttpClientRequest open) {
        request.headers().forEach(field -> open.headers().add(field.name(), field.value()));
        open.putHeader(names.requestId(), request.id());
        open.putHeader(
                names.deadlineMs(),
                Long.toString(Math.max(1, request.deadline().remaining(time).toMillis())));
        open.putHeader(names.expectedBackend(), request.expected().id());
        open.putHeader(names.callerService(), request.callerService());
    }

    private Future<Void> read(HttpClientResponse response) {
        Optional.ofNullable(response.getHeader(names.load()))
                .map(names.loadReader()::slowdown)
                .ifPresent(reported -> reported.ifPresent(observer::onSlowdown));
        if (!isOwnAnswer(response)) {
            endWritten(UnknownReason.DAMAGED_ANSWER);
            return Future.succeededFuture();
        }
        if (response.getHeader(names.notRun()) != null || response.statusCode() == MISDIRECTED) {
            return response.body().transform(read -> {
                end(new NotRun(NotRunReason.REJECTED, true, Duration.ZERO));
                return Future.succeededFuture();
            });
        }
        return response.body().compose(body -> {
            end(response, body);
            return Future.succeededFuture();
        });
    }

    /** An answer without an id is accepted only if it says that the request did not run. */
    private boolean isOwnAnswer(HttpClientResponse response) {
        String id = response.getHeader(names.requestId());
        if (id != null) {
            return id.equals(request.id());
        }
        return response.getHeader(names.notRun()) != null || response.statusCode() == MISDIRECTED;
    }

    private void end(HttpClientResponse response, Buffer body) {
        boolean success = response.statusCode() >= 200 && response.statusCode() < 300;
        boolean unsigned = response.getHeader(names.signature()) == null;
        boolean encoded = response.getHeader("content-encoding") != null;
        if (success && (unsigned || encoded)) {
            endWritten(UnknownReason.DAMAGED_ANSWER);
            return;
        }
        end(new Answered(response.statusCode(), HopByHopHeaders.endToEnd(response.headers()), body));
    }

    private void end(BackendAnswer answer) {
        if (phase == Phase.WRITTEN) {
            phase = Phase.ENDED;
            result.complete(answer);
        }
    }

    private void endUnwritten(NotRunReason reason) {
        if (phase == Phase.WAITING) {
            phase = Phase.ENDED;
            result.complete(new NotRun(reason, false, Duration.ZERO));
        }
    }

    private void endWritten(UnknownReason reason) {
        if (phase == Phase.WRITTEN) {
            phase = Phase.ENDED;
            stream.ifPresent(HttpClientRequest::reset);
            result.complete(new Unknown(reason));
        }
    }
}
