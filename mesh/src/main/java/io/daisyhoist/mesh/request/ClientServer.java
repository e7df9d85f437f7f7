package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.SplittableRandom;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.client.CloseReason;
import io.daisyhoist.core.client.ConnectionBounds;
import io.daisyhoist.core.customer.ApiKeyCheck;
import io.daisyhoist.core.customer.CustomerCredential;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.route.ClientLimits;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.route.WeightedServiceSelector;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HopByHopHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.limits.RefusalFormat;
import io.daisyhoist.daemon.limits.RequestRefusedException;
import io.daisyhoist.mesh.body.ClientBody;
import io.daisyhoist.mesh.body.RequestBody;
import io.daisyhoist.mesh.connection.CustomerHeaders;
import io.daisyhoist.mesh.connection.HeaderNames;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;

/**
 * HTTP server for requests of clients and of the local backend server.
 *
 * <p>Invariants: each request that was read gets one response unless its client has disconnected; a request whose client has
 * disconnected before it is routed is not sent; a request is routed by the newest configuration known when its body, or the
 * first part of a large one, has been read. Confined to the traffic event loop.
 */
public final class ClientServer {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Allowance for the transit of a response to the client. */
    private static final Duration RESPONSE_TRANSIT_TIME = Duration.ofMillis(20);

    private static final Duration NOT_READY_RETRY_AFTER = Duration.ofMillis(300);
    private static final double MILLIS_PER_SECOND = 1_000.0;

    private final RequestContext context;
    private final HeaderNames headerNames;
    private final CustomerAuthenticator authenticator;
    private final ClientConnectionLimiter limiter;
    private final QuotaCheck quotaCheck;
    private final WeightedServiceSelector serviceSelector = new WeightedServiceSelector();
    private final IngressAdmission ingress;
    private final HttpServer server;
    private final PollBarrier pollBarrier;
    private int inFlight;
    private Optional<Deadline> plannedExit = Optional.empty();
    private boolean refusing;

    /** Creates a server of a fleet without a revocation limit and quotas, which is not listening. */
    public ClientServer(Vertx vertx, RequestContext context, HeaderNames headerNames) {
        this(
                vertx,
                context,
                headerNames,
                ApiKeyCheck.withoutRevocationLimit(
                        context.time(), () -> context.fleet().get().config().map(FleetConfig::customers)),
                ConnectionBounds.DEFAULT,
                QuotaCheck.unlimited());
    }

    /** Creates a server that is not listening. */
    public ClientServer(
            Vertx vertx,
            RequestContext context,
            HeaderNames headerNames,
            ApiKeyCheck keyCheck,
            ConnectionBounds bounds,
            QuotaCheck quotaCheck) {
        this.context = context;
        this.quotaCheck = quotaCheck;
        this.headerNames = headerNames;
        this.authenticator = new CustomerAuthenticator(keyCheck, headerNames);
        this.limiter = new ClientConnectionLimiter(
                vertx,
                context.time(),
                this::limits,
                bounds,
                context.memory(),
                new ClientConnectionLimiter.Refusals(RefusalFormat.WITHOUT_BODY, context.metrics()::onClientRefused));
        this.ingress = new IngressAdmission(context.time(), new SplittableRandom());
        this.pollBarrier = new PollBarrier(vertx);
        this.server = vertx.createHttpServer(ClientConnectionLimiter.serverOptions())
                .connectionHandler(limiter::onConnection)
                .requestHandler(this::handleRequest);
    }

    private ClientLimits limits() {
        return context.fleet().get().config().map(FleetConfig::limits).orElse(ClientLimits.DEFAULT);
    }

    /** Returns the number of open connections of clients. */
    public int connections() {
        return limiter.connections();
    }

    /** Starts listening. */
    public Future<HttpServer> listen(Endpoint address) {
        limiter.start();
        return server.listen(address.port(), address.host());
    }

    /** Starts listening on any free port. */
    public Future<HttpServer> listenOnFreePort(String host) {
        limiter.start();
        return server.listen(0, host);
    }

    /** Stops listening and closes all connections. */
    public Future<Void> close() {
        return server.close().onComplete(closed -> limiter.stop());
    }

    /**
     * Closes each connection after its next response, and refuses requests that the exit could interrupt although they must
     * not be repeated.
     *
     * @param exit latest time at which the process exits
     */
    public void prepareStop(Deadline exit) {
        plannedExit = Optional.of(exit);
    }

    /** Refuses all further requests as not run, because they may not complete before the process exits. */
    public void refuseNewRequests() {
        refusing = true;
    }

    /** Returns the number of requests whose response has not been written completely. */
    public int inFlight() {
        return inFlight;
    }

    private void handleRequest(HttpServerRequest http) {
        long arrivedNanos = context.time().monotonicNanos();
        inFlight++;
        Promise<Void> clientClosed = Promise.promise();
        http.response().closeHandler(closed -> clientClosed.tryComplete());
        ClientBody clientBody = ClientBody.read(http, limits().maxBodyBytes(), limiter);
        handle(http, clientBody, arrivedNanos, clientClosed.future())
                .recover(failure -> {
                    LOGGER.atSevere().withCause(failure).log("event=request_failed uri=%s", http.uri());
                    return Future.succeededFuture(ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN));
                })
                .onSuccess(clientResponse -> logUpload(http, clientBody, clientResponse))
                .onComplete(done -> clientBody.close())
                .map(clientResponse -> requireMemory(http, clientResponse))
                // A response that is not written completely would be lost if the process exited.
                .compose(clientResponse -> write(http, clientBody, clientResponse))
                .onComplete(done -> inFlight--);
    }

    private Future<ClientResponse> handle(
            HttpServerRequest http, ClientBody clientBody, long arrivedNanos, Future<Void> clientClosed) {
        return clientBody
                .body()
                .compose(body -> pollBarrier.afterNextPoll().map(polled -> body))
                .compose(body -> {
                    if (clientClosed.isComplete()) {
                        return refuse(http, "client_disconnected", ClientResponse.notRun(NOT_READY_RETRY_AFTER));
                    }
                    if (refusing) {
                        return refuse(http, "stopping", ClientResponse.notRun(NOT_READY_RETRY_AFTER));
                    }
                    return route(http, body, arrivedNanos, clientClosed);
                })
                .recover(failure -> failure instanceof RequestRefusedException refused
                        ? refuse(http, refused.reason().label(), refusal(refused.reason()))
                        : Future.failedFuture(failure));
    }

    private void logUpload(HttpServerRequest http, ClientBody clientBody, ClientResponse clientResponse) {
        if (clientBody.streamedBytes().isEmpty()) {
            return;
        }
        context.metrics().onUpload(clientBody.isPassedOn());
        LOGGER.atInfo().log(
                "event=upload_done request=%s streamed_bytes=%d passed_on=%s status=%d",
                http.getHeader(headerNames.requestId()),
                clientBody.streamedBytes().getAsLong(),
                clientBody.isPassedOn(),
                clientResponse.status());
    }

    private static ClientResponse refusal(CloseReason reason) {
        return reason == CloseReason.MEMORY || reason == CloseReason.DISCONNECTED
                ? ClientResponse.notRun(NOT_READY_RETRY_AFTER)
                : ClientResponse.status(reason.status());
    }

    private Future<ClientResponse> route(
            HttpServerRequest http, RequestBody body, long arrivedNanos, Future<Void> clientClosed) {
        Optional<FleetConfig> config = context.fleet().get().config();
        if (config.isEmpty()) {
            return refuse(http, "no_config", ClientResponse.notRun(NOT_READY_RETRY_AFTER));
        }
        String id = http.getHeader(headerNames.requestId());
        String host = http.getHeader("host");
        String path = http.path();
        if (id == null || host == null || path == null) {
            return refuse(http, "incomplete_head", ClientResponse.invalid());
        }
        Optional<Route> route = config.get().routes().find(host, path);
        if (route.isEmpty()) {
            return refuse(http, "no_route version=" + config.get().version(), ClientResponse.noRoute());
        }
        CustomerAuthenticator.Result authenticated =
                authenticator.authenticate(config.get(), route.get(), http.headers());
        if (authenticated instanceof CustomerAuthenticator.Refused refused) {
            context.metrics().onRefusal(refused.reason());
            return refuse(http, refused.reason(), refused.response());
        }
        CustomerAuthenticator.Accepted accepted = (CustomerAuthenticator.Accepted) authenticated;
        Deadline deadline = deadline(http, route.get(), arrivedNanos);
        boolean mayBeInterrupted =
                plannedExit.filter(exit -> exit.isBefore(deadline)).isPresent();
        if (mayBeInterrupted && !route.get().isIdempotent()) {
            return refuse(http, "stopping", ClientResponse.notRun(NOT_READY_RETRY_AFTER));
        }
        ClientRequest request = new ClientRequest(
                id,
                accepted.priority().isPresent()
                        ? route.get().withPriority(accepted.priority().getAsInt())
                        : route.get(),
                config.get().version(),
                key(http),
                http.method().name(),
                http.uri(),
                headers(http, !config.get().customers().isEmpty()),
                body,
                arrivedNanos,
                deadline,
                clientClosed,
                accepted.customer(),
                isFromOwnInstance(http));
        return quotaCheck.run(
                accepted.customer().map(CustomerCredential::customer),
                id,
                clientClosed,
                () -> new RequestDispatch(
                                context,
                                request,
                                serviceSelector.next(config.get().version(), route.get()),
                                ingress)
                        .start()
                        .map(clientResponse -> requireOwn(id, clientResponse)));
    }

    /** Only the local backend server calls from the instance of the daemon. */
    private static boolean isFromOwnInstance(HttpServerRequest http) {
        return http.remoteAddress() != null
                && http.localAddress() != null
                && Objects.equals(
                        http.remoteAddress().hostAddress(), http.localAddress().hostAddress());
    }

    /** Replaces a response that contains the id of another request, wherever the two were confused. */
    private ClientResponse requireOwn(String id, ClientResponse clientResponse) {
        boolean foreign = clientResponse.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(headerNames.requestId()))
                .anyMatch(field -> !field.value().equals(id));
        if (!foreign) {
            return clientResponse;
        }
        LOGGER.atSevere().log("event=foreign_response request=%s status=%d", id, clientResponse.status());
        return ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN);
    }

    /** Replaces a response that would take memory which others hold. */
    private ClientResponse requireMemory(HttpServerRequest http, ClientResponse clientResponse) {
        if (limiter.hasRoomForResponse(clientResponse.body().length())) {
            return clientResponse;
        }
        LOGGER.atWarning().log(
                "event=response_dropped request=%s reason=memory bytes=%d",
                http.getHeader(headerNames.requestId()), clientResponse.body().length());
        return ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN);
    }

    private Future<ClientResponse> refuse(HttpServerRequest http, String reason, ClientResponse clientResponse) {
        LOGGER.atInfo().log(
                "event=request_refused request=%s reason=%s status=%d",
                http.getHeader(headerNames.requestId()), reason, clientResponse.status());
        return Future.succeededFuture(clientResponse);
    }

    private OptionalInt key(HttpServerRequest http) {
        String value = http.getHeader(headerNames.key());
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

    private List<HttpField> headers(HttpServerRequest http, boolean fleetHasCustomers) {
        List<HttpField> forwardedHeaders = new ArrayList<>();
        for (HttpField field : HopByHopHeaders.endToEnd(http.headers())) {
            boolean ofCustomer = fleetHasCustomers && CustomerHeaders.isReplaced(headerNames, field.name());
            if (!isReplaced(field.name()) && !ofCustomer) {
                forwardedHeaders.add(field);
            }
        }
        // The host and the trace context are forwarded end to end.
        for (String name : List.of("host", "traceparent")) {
            Optional.ofNullable(http.getHeader(name))
                    .ifPresent(value -> forwardedHeaders.add(new HttpField(name, value)));
        }
        return forwardedHeaders;
    }

    private boolean isReplaced(String name) {
        return name.equalsIgnoreCase(headerNames.requestId())
                || name.equalsIgnoreCase(headerNames.deadlineMs())
                || name.equalsIgnoreCase(headerNames.expectedBackend())
                || name.equalsIgnoreCase(headerNames.callerService());
    }

    private Deadline deadline(HttpServerRequest http, Route route, long arrivedNanos) {
        Duration timeout = route.timeout();
        String headerValue = http.getHeader(headerNames.deadlineMs());
        if (headerValue != null) {
            try {
                Duration client =
                        Duration.ofMillis(Long.parseLong(headerValue.trim())).minus(RESPONSE_TRANSIT_TIME);
                timeout = client.compareTo(timeout) < 0 ? client : timeout;
            } catch (NumberFormatException e) {
                LOGGER.atInfo().log("event=request_deadline_unreadable value=%s", headerValue);
            }
        }
        return new Deadline(arrivedNanos + timeout.toNanos());
    }

    private Future<Void> write(HttpServerRequest http, ClientBody clientBody, ClientResponse clientResponse) {
        HttpServerResponse response = http.response();
        if (response.ended() || response.closed()) {
            return Future.succeededFuture();
        }
        try {
            fillHead(http, clientResponse);
        } catch (IllegalArgumentException e) {
            // A header field that a daemon sent cannot be written.
            LOGGER.atWarning().withCause(e).log("event=response_invalid uri=%s", http.uri());
            response.headers().clear();
            fillHead(http, ClientResponse.status(ClientResponse.OUTCOME_UNKNOWN));
            return response.end();
        }
        if (http.isEnded()) {
            return response.end(clientResponse.body());
        }
        response.putHeader(
                "Content-Length", Integer.toString(clientResponse.body().length()));
        response.write(clientResponse.body());
        return clientBody.discardRest(context.vertx()).compose(discarded -> response.end());
    }

    private void fillHead(HttpServerRequest http, ClientResponse clientResponse) {
        HttpServerResponse response = http.response();
        response.setStatusCode(clientResponse.status());
        clientResponse.headers().forEach(field -> response.headers().add(field.name(), field.value()));
        clientResponse
                .retryAfter()
                .ifPresent(wait -> response.putHeader(
                        "Retry-After", String.format(Locale.ROOT, "%.3f", wait.toMillis() / MILLIS_PER_SECOND)));
        if (plannedExit.isPresent() || !http.isEnded()) {
            response.putHeader("Connection", "close");
        }
    }
}
