package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.WeightedChoice;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HopByHopHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * Accepts the requests of clients and of the backend server beside this daemon.
 *
 * <p>Invariants: each request that was read gets one answer unless its client has gone; a request is routed by the newest
 * configuration at the time at which it was read. Confined to the traffic event loop.
 */
public final class ClientServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_HEADER_BYTES = 65_536;

    /** Time that an answer may need to reach the client. */
    private static final Duration RETURN_TIME = Duration.ofMillis(20);

    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(300);
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final RequestContext context;
    private final HeaderNames names;
    private final WeightedChoice weights = new WeightedChoice();
    private final HttpServer server;
    private int inFlight;
    private boolean closing;
    private boolean refusing;

    /** Creates a server that does not listen yet. */
    public ClientServer(Vertx vertx, RequestContext context, HeaderNames names) {
        this.context = context;
        this.names = names;
        this.server = vertx.createHttpServer(new HttpServerOptions()
                        .setMaxHeaderSize(MAX_HEADER_BYTES)
                        .setMaxInitialLineLength(MAX_HEADER_BYTES)
                        .setHandle100ContinueAutomatically(true)
                        .setAcceptBacklog(1024))
                .requestHandler(this::accept);
    }

    /** Starts to listen. */
    public Future<HttpServer> listen(Endpoint address) {
        return server.listen(address.port(), address.host());
    }

    /** Closes each connection after its next answer. */
    public void closeConnectionsAfterAnswers() {
        closing = true;
    }

    /** Refuses all further requests as not run, since there may be no time left to answer them. */
    public void refuseNewRequests() {
        refusing = true;
    }

    /** Returns the number of requests without an answer. */
    public int inFlight() {
        return inFlight;
    }

    private void accept(HttpServerRequest http) {
        long arrivedNanos = context.time().monotonicNanos();
        inFlight++;
        Promise<Void> gone = Promise.promise();
        http.response().closeHandler(closed -> gone.tryComplete());
        handle(http, arrivedNanos, gone.future())
                .recover(failure -> {
                    LOGGER.atSevere().withCause(failure).log("event=request_failed uri=%s", http.uri());
                    return Future.succeededFuture(FinalAnswer.status(FinalAnswer.OUTCOME_UNKNOWN));
                })
                .onSuccess(answer -> {
                    inFlight--;
                    write(http, answer);
                });
    }

    private Future<FinalAnswer> handle(HttpServerRequest http, long arrivedNanos, Future<Void> gone) {
        ClientLimits limits =
                context.fleet().get().config().map(FleetConfig::limits).orElse(ClientLimits.DEFAULT);
        return readBody(http, limits.maxBodyBytes()).compose(body -> {
            if (body.isEmpty()) {
                return Future.succeededFuture(FinalAnswer.tooLarge());
            }
            if (refusing) {
                return refuse(http, "stopping", FinalAnswer.notRun(NOT_READY_RETRY_AFTER));
            }
            return route(http, body.get(), arrivedNanos, gone);
        });
    }

    private static Future<Optional<Buffer>> readBody(HttpServerRequest http, long maxBytes) {
        Promise<Optional<Buffer>> whole = Promise.promise();
        Buffer body = Buffer.buffer();
        http.handler(chunk -> {
            if (body.length() + chunk.length() > maxBytes) {
                whole.tryComplete(Optional.empty());
                return;
            }
            body.appendBuffer(chunk);
        });
        http.exceptionHandler(whole::tryFail);
        http.endHandler(end -> whole.tryComplete(Optional.of(body)));
        return whole.future();
    }

    private Future<FinalAnswer> route(HttpServerRequest http, Buffer body, long arrivedNanos, Future<Void> gone) {
        Optional<FleetConfig> config = context.fleet().get().config();
        if (config.isEmpty()) {
            return refuse(http, "no_config", FinalAnswer.notRun(NOT_READY_RETRY_AFTER));
        }
        String id = http.getHeader(names.requestId());
        String host = http.getHeader("host");
        String path = http.path();
        if (id == null || host == null || path == null) {
            return refuse(http, "incomplete_head", FinalAnswer.invalid());
        }
        Optional<Route> route = config.get().routes().find(host, path);
        if (route.isEmpty()) {
            return refuse(http, "no_route version=" + config.get().version(), FinalAnswer.noRoute());
        }
        ClientRequest request = new ClientRequest(
                id,
                route.get(),
                config.get().version(),
                key(http),
                http.method().name(),
                http.uri(),
                headers(http),
                body,
                arrivedNanos,
                deadline(http, route.get(), arrivedNanos),
                gone);
        return new RequestRun(context, request, weights.next(config.get().version(), route.get())).start();
    }

    private Future<FinalAnswer> refuse(HttpServerRequest http, String reason, FinalAnswer answer) {
        LOGGER.atInfo().log(
                "event=request_refused request=%s reason=%s status=%d",
                http.getHeader(names.requestId()), reason, answer.status());
        return Future.succeededFuture(answer);
    }

    private OptionalInt key(HttpServerRequest http) {
        String value = http.getHeader(names.key());
        if (value == null) {
            return OptionalInt.empty();
        }
        try {
            return OptionalInt.of(Integer.parseInt(value.trim()));
        } catch (NumberFormatException e) {
            LOGGER.atInfo().log("event=request_key_unreadable value=%s", value);
            return OptionalInt.empty();
        }
    }

    private List<HttpField> headers(HttpServerRequest http) {
        List<HttpField> kept = new ArrayList<>();
        for (HttpField field : HopByHopHeaders.endToEnd(http.headers())) {
            if (!isSetAnew(field.name())) {
                kept.add(field);
            }
        }
        // The host and a trace identity concern the whole way of the request.
        for (String name : List.of("host", "traceparent")) {
            Optional.ofNullable(http.getHeader(name)).ifPresent(value -> kept.add(new HttpField(name, value)));
        }
        return kept;
    }

    private boolean isSetAnew(String name) {
        return name.equalsIgnoreCase(names.requestId())
                || name.equalsIgnoreCase(names.deadlineMs())
                || name.equalsIgnoreCase(names.expectedBackend())
                || name.equalsIgnoreCase(names.callerService());
    }

    private Deadline deadline(HttpServerRequest http, Route route, long arrivedNanos) {
        Duration longest = route.timeout();
        String stated = http.getHeader(names.deadlineMs());
        if (stated != null) {
            try {
                Duration client =
                        Duration.ofMillis(Long.parseLong(stated.trim())).minus(RETURN_TIME);
                longest = client.compareTo(longest) < 0 ? client : longest;
            } catch (NumberFormatException e) {
                LOGGER.atInfo().log("event=request_deadline_unreadable value=%s", stated);
            }
        }
        return new Deadline(arrivedNanos + longest.toNanos());
    }

    private void write(HttpServerRequest http, FinalAnswer answer) {
        HttpServerResponse response = http.response();
        if (response.ended() || response.closed()) {
            return;
        }
        response.setStatusCode(answer.status());
        answer.headers().forEach(field -> response.headers().add(field.name(), field.value()));
        answer.retryAfter()
                .ifPresent(wait -> response.putHeader(
                        "Retry-After", String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLIS_PER_SECOND)));
        if (closing || !http.isEnded()) {
            response.putHeader("Connection", "close");
        }
        response.end(answer.body());
    }
}
