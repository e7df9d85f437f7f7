package io.daisyhoist.mesh.connection;

import java.net.ConnectException;
import java.time.Duration;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.connection.BodyBudget;
import io.daisyhoist.daemon.connection.BoundedBody;
import io.daisyhoist.daemon.connection.HopByHopHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.connection.ResponseHeads;
import io.daisyhoist.daemon.connection.WatchedHttpClients;
import io.daisyhoist.mesh.body.BodyAbortedException;
import io.daisyhoist.mesh.body.BodyRest;
import io.daisyhoist.mesh.connection.BackendOutcome.Answered;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRun;
import io.daisyhoist.mesh.connection.BackendOutcome.NotRunReason;
import io.daisyhoist.mesh.connection.BackendOutcome.Unknown;
import io.daisyhoist.mesh.connection.BackendOutcome.UnknownReason;
import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.AsyncResult;
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
 * One request to the backend server and its response.
 *
 * <p>Invariant: the phase leaves {@code WAITING} once, either to {@code WRITTEN} immediately before the write or to
 * {@code ENDED} without a write; the request is reported as not run only before the write or after a refusal with its id.
 * Confined to the traffic event loop.
 */
final class BackendHttpExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A response is also copied for the daemon or the client that waits for it, and has to fit into the heap. */
    static final int MAX_RESPONSE_BODY_BYTES = 4 << 20;

    private static final int MISDIRECTED_REQUEST = 421;

    /** Connections that have carried the id of a request, after which it is refused. */
    private static final int MAX_USED_CONNECTIONS = 8;

    private enum Phase {
        WAITING,
        WRITTEN,
        ENDED
    }

    private final Context context;
    private final HttpClient client;
    private final BodyBudget responseBudget;
    private final SentRequestIds sentRequestIds;
    private final HeaderNames headerNames;
    private final TimeSource time;
    private final Endpoint backend;
    private final BackendRequestData request;
    private final ResponseInspector inspector;
    private final BackendHttpClient.Observer observer;
    private final Promise<BackendOutcome> result = Promise.promise();
    private final Promise<Void> written = Promise.promise();
    private Phase phase = Phase.WAITING;
    private Optional<HttpClientRequest> httpRequest = Optional.empty();
    private Optional<StreamedBodyWriter> bodyWriter = Optional.empty();
    private int usedConnections;

    /**
     * Dependencies that all exchanges of a client share. Immutable.
     *
     * @param context traffic event loop
     * @param client HTTP client with its connection pool
     * @param responseBudget memory for the bodies of responses
     * @param sentRequestIds ids of the requests that were sent on each connection
     * @param headerNames names of header fields
     * @param time clock
     */
    record Dependencies(
            Context context,
            HttpClient client,
            BodyBudget responseBudget,
            SentRequestIds sentRequestIds,
            HeaderNames headerNames,
            TimeSource time) {}

    BackendHttpExchange(
            Dependencies dependencies,
            Endpoint backend,
            BackendRequestData request,
            BackendHttpClient.Observer observer) {
        this.context = dependencies.context();
        this.client = dependencies.client();
        this.responseBudget = dependencies.responseBudget();
        this.sentRequestIds = dependencies.sentRequestIds();
        this.headerNames = dependencies.headerNames();
        this.time = dependencies.time();
        this.backend = backend;
        this.request = request;
        this.inspector = new ResponseInspector(headerNames, request.id());
        this.observer = observer;
    }

    Future<BackendOutcome> result() {
        return result.future();
    }

    /** Completes when the request is written. */
    Future<Void> written() {
        return written.future();
    }

    String requestId() {
        return request.id();
    }

    /** Ends the exchange because no response is expected any more, and closes its connection. */
    void giveUp() {
        completeUnknown(UnknownReason.NO_RESPONSE);
    }

    void cancel() {
        completeNotRun(NotRunReason.CANCELLED);
        completeUnknown(UnknownReason.CANCELLED);
    }

    void start() {
        long remainingMillis = request.deadline().remaining(time).toMillis();
        if (remainingMillis < 1) {
            completeNotRun(NotRunReason.DEADLINE);
            return;
        }
        long timer = context.owner().setTimer(remainingMillis, fired -> {
            completeNotRun(NotRunReason.DEADLINE);
            completeUnknown(UnknownReason.DEADLINE);
        });
        result.future().onComplete(done -> context.owner().cancelTimer(timer));
        connect();
    }

    private void connect() {
        RequestOptions options = new RequestOptions()
                .setServer(SocketAddress.inetSocketAddress(backend.port(), backend.host()))
                .setHost(backend.host())
                .setPort(backend.port())
                .setMethod(HttpMethod.valueOf(request.method()))
                .setURI(request.uri());
        client.request(options).onSuccess(this::onConnected).onFailure(this::onUnreachable);
    }

    private void connectAgain() {
        usedConnections++;
        if (usedConnections >= MAX_USED_CONNECTIONS) {
            completeNotRun(NotRunReason.UNREACHABLE);
            return;
        }
        connect();
    }

    private void onUnreachable(Throwable failure) {
        boolean timedOut = failure instanceof ConnectTimeoutException;
        if (failure instanceof ConnectException && !timedOut) {
            observer.onConnectionRefused();
        }
        completeNotRun(NotRunReason.UNREACHABLE);
    }

    /** The rest of a body is asked for when a connection is open, and nothing is written before it is known to come. */
    private void onConnected(HttpClientRequest connectedRequest) {
        Optional<BodyRest> rest = request.body().rest();
        if (phase != Phase.WAITING || rest.isEmpty()) {
            write(connectedRequest);
            return;
        }
        rest.get().open().onComplete(opened -> {
            if (opened.failed()) {
                completeNotRun(NotRunReason.CANCELLED);
            }
            write(connectedRequest);
        });
    }

    private void write(HttpClientRequest connectedRequest) {
        httpRequest = Optional.of(connectedRequest);
        if (phase == Phase.WAITING && !observer.mayBeWritten()) {
            completeNotRun(NotRunReason.WRONG_BACKEND);
        }
        if (phase != Phase.WAITING) {
            connectedRequest.reset();
            return;
        }
        if (!sentRequestIds.add(connectedRequest.connection(), request.id())) {
            // A late response to the earlier request could not be told from the one to this request.
            connectedRequest.exceptionHandler(closed -> {
                // Expected: the connection is closed before the request is written.
            });
            connectedRequest.connection().close();
            connectAgain();
            return;
        }
        try {
            setHeaders(connectedRequest);
        } catch (IllegalArgumentException e) {
            // A header field that the client sent cannot be sent on.
            connectedRequest.reset();
            completeNotRun(NotRunReason.INVALID);
            return;
        }
        phase = Phase.WRITTEN;
        observer.onWrite();
        written.complete();
        send(connectedRequest).compose(this::read).onFailure(this::onNoResponse);
    }

    private Future<HttpClientResponse> send(HttpClientRequest connectedRequest) {
        if (!request.body().isStreamed()) {
            return hasBody() ? connectedRequest.send(request.body().first()) : connectedRequest.send();
        }
        StreamedBodyWriter writer = new StreamedBodyWriter(
                connectedRequest, request.body(), request.body().rest().get());
        bodyWriter = Optional.of(writer);
        writer.start().onFailure(failure -> {
            if (failure instanceof BodyAbortedException) {
                completeUnknown(UnknownReason.CANCELLED);
            }
        });
        return connectedRequest.response();
    }

    private void onNoResponse(Throwable failure) {
        boolean unreadable = failure instanceof IllegalArgumentException && phase == Phase.WRITTEN;
        if (unreadable) {
            LOGGER.atWarning().log(
                    "event=response_fault request=%s fault=%s reason=\"%s\" connection=%s",
                    request.id(), ResponseFault.UNREADABLE, failure.getMessage(), connectionLabel());
            observer.onResponseFault(ResponseFault.UNREADABLE);
            httpRequest.ifPresent(sent -> sent.connection().close());
        }
        completeUnknown(unreadable ? UnknownReason.DAMAGED_ANSWER : unknownReason(failure));
    }

    private static UnknownReason unknownReason(Throwable failure) {
        return failure instanceof BoundedBody.TooLargeException
                ? UnknownReason.DAMAGED_ANSWER
                : UnknownReason.CONNECTION_LOST;
    }

    private boolean hasBody() {
        return request.body().first().length() > 0 || request.headers().stream().anyMatch(this::isContentType);
    }

    private boolean isContentType(HttpField field) {
        return field.name().equalsIgnoreCase("content-type");
    }

    private void setHeaders(HttpClientRequest connectedRequest) {
        CustomerHeaders.forBackend(headerNames, request, observer.removesCustomerHeaders())
                .forEach(field -> connectedRequest.headers().add(field.name(), field.value()));
        connectedRequest.putHeader(headerNames.requestId(), request.id());
        connectedRequest.putHeader(
                headerNames.deadlineMs(),
                Long.toString(Math.max(1, request.deadline().remaining(time).toMillis())));
        connectedRequest.putHeader(
                headerNames.expectedBackend(), request.expectedProcess().id());
        connectedRequest.putHeader(headerNames.callerService(), request.callerService());
    }

    private Future<Void> read(HttpClientResponse response) {
        Optional.ofNullable(response.getHeader(headerNames.load()))
                .map(headerNames.loadParser()::slowdown)
                .ifPresent(reported -> reported.ifPresent(observer::onSlowdown));
        Optional<ResponseFault> fault = inspector.faultOfHead(response);
        if (fault.isPresent()) {
            reject(response, fault.get());
            return Future.succeededFuture();
        }
        if (isRefusal(response)) {
            return readBody(response).transform(read -> {
                completeRefusal(response, read);
                return Future.succeededFuture();
            });
        }
        return readBody(response).compose(body -> {
            complete(response, body);
            return Future.succeededFuture();
        });
    }

    private void completeRefusal(HttpClientResponse response, AsyncResult<Buffer> read) {
        Optional<ResponseFault> fault =
                read.succeeded() ? inspector.faultOfBody(response, read.result()) : Optional.empty();
        if (fault.isPresent()) {
            reject(response, fault.get());
            return;
        }
        complete(new NotRun(NotRunReason.REJECTED, true, Duration.ZERO));
        if (read.failed()) {
            response.request().reset();
        }
    }

    /** Closes the connection as well, since a reset leaves it open once the response has ended. */
    private void reject(HttpClientResponse response, ResponseFault fault) {
        report(response, fault);
        completeUnknown(UnknownReason.DAMAGED_ANSWER);
        response.request().connection().close();
    }

    private void report(HttpClientResponse response, ResponseFault fault) {
        LOGGER.atWarning().log(
                "event=response_fault request=%s fault=%s status=%d reason=\"%s\" received_id=%s connection=%s",
                request.id(),
                fault,
                response.statusCode(),
                response.statusMessage(),
                response.getHeader(headerNames.requestId()),
                connectionLabel());
        observer.onResponseFault(fault);
    }

    /** Returns the local port of the connection and the number of responses that it had carried before. */
    private String connectionLabel() {
        return httpRequest
                .map(HttpClientRequest::connection)
                .filter(connection -> connection.localAddress() != null)
                .map(connection -> connection.localAddress().port() + "/"
                        + WatchedHttpClients.responses(connection).orElse(0))
                .orElse("none");
    }

    private Future<Buffer> readBody(HttpClientResponse response) {
        return responseBudget.read(response, MAX_RESPONSE_BODY_BYTES);
    }

    private boolean isRefusal(HttpClientResponse response) {
        return response.getHeader(headerNames.notRun()) != null || response.statusCode() == MISDIRECTED_REQUEST;
    }

    private void complete(HttpClientResponse response, Buffer body) {
        Optional<ResponseFault> fault = inspector.faultOfBody(response, body);
        if (fault.isPresent()) {
            reject(response, fault.get());
            return;
        }
        if (ResponseHeads.containsStatusLine(body)) {
            // Whether bytes follow the response is known when those that were read with its end have been decoded.
            context.runOnContext(decoded -> completeUnlessBytesFollow(response, body));
            return;
        }
        completeAnswered(response, body);
    }

    /** A body that contains a status line and is followed by further bytes was filled up by another response. */
    private void completeUnlessBytesFollow(HttpClientResponse response, Buffer body) {
        if (WatchedHttpClients.hasSeenUnsolicitedBytes(response.request().connection())) {
            reject(response, ResponseFault.BODY_CONTAINS_HEAD);
            return;
        }
        completeAnswered(response, body);
    }

    private void completeAnswered(HttpClientResponse response, Buffer body) {
        complete(new Answered(response.statusCode(), HopByHopHeaders.endToEnd(response.headers()), body));
    }

    private void complete(BackendOutcome outcome) {
        if (phase == Phase.WRITTEN) {
            phase = Phase.ENDED;
            bodyWriter.ifPresent(StreamedBodyWriter::stop);
            result.complete(outcome);
        }
    }

    private void completeNotRun(NotRunReason reason) {
        if (phase == Phase.WAITING) {
            phase = Phase.ENDED;
            result.complete(new NotRun(reason, false, Duration.ZERO));
        }
    }

    private void completeUnknown(UnknownReason reason) {
        if (phase == Phase.WRITTEN) {
            phase = Phase.ENDED;
            httpRequest.ifPresent(HttpClientRequest::reset);
            bodyWriter.ifPresent(StreamedBodyWriter::stop);
            result.complete(new Unknown(reason));
        }
    }
}
