package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.limits.ClientConnectionLimiter;
import io.daisyhoist.daemon.limits.HeldBody;
import io.daisyhoist.daemon.limits.RequestRefusedException;
import io.daisyhoist.daemon.telemetry.DaemonMetrics;
import io.daisyhoist.daemon.telemetry.Hop;
import io.daisyhoist.daemon.telemetry.HopSpan;
import io.daisyhoist.daemon.telemetry.HopTracer;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;

/**
 * HTTP routes of the client port.
 *
 * <p>Invariants: each request gets one response; a request that is refused here did not run and has not reached the
 * {@link RequestHandler}. Stateless; runs on the event loop of each request.
 */
public final class EdgeRoutes {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String TOKEN_PATH = "/attempt-token";

    private final RequestHandler handler;
    private final RequestParser parser;
    private final ClientConnectionLimiter limiter;
    private final BodyReader bodyReader;
    private final TimeSource time;
    private final DaemonMetrics metrics;
    private final HopTracer tracer;

    /**
     * Creates the routes.
     *
     * @param limiter limiter of the connections on which the requests arrive
     * @param maxBodyBytes maximum length of a body
     */
    public EdgeRoutes(
            RequestHandler handler,
            ServiceTimeouts timeouts,
            ClientConnectionLimiter limiter,
            long maxBodyBytes,
            TimeSource time,
            DaemonMetrics metrics,
            HopTracer tracer) {
        this.handler = handler;
        this.parser = new RequestParser(timeouts, time);
        this.limiter = limiter;
        this.bodyReader = new BodyReader(limiter, maxBodyBytes);
        this.time = time;
        this.metrics = metrics;
        this.tracer = tracer;
    }

    /** Returns a router that responds to every path. */
    public Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.route().handler(this::serve);
        return router;
    }

    private void serve(RoutingContext context) {
        HttpServerRequest http = context.request();
        try {
            RequestTarget target = parser.target(http);
            if (isTokenRequest(http, target)) {
                issueToken(http, target);
            } else {
                forward(http, target);
            }
        } catch (RefusedException e) {
            refuse(http, e.refusal());
        }
    }

    private void forward(HttpServerRequest http, RequestTarget target) {
        Context requestContext = Vertx.currentContext();
        long startNanos = time.monotonicNanos();
        HopSpan span = tracer.start(Hop.CLIENT_EDGE, Optional.ofNullable(http.getHeader("traceparent")));
        Promise<Void> clientDisconnected = Promise.promise();
        http.response().closeHandler(closed -> clientDisconnected.tryComplete());
        handle(http, target, span, clientDisconnected.future()).onComplete(done -> {
            OutboundResponse response = done.succeeded() ? requireMemory(done.result()) : toRefusal(http, done.cause());
            metrics.onResponse(
                    target.service(),
                    response.refusal().map(Refusal::code),
                    response.run(),
                    Duration.ofNanos(time.monotonicNanos() - startNanos));
            span.attribute("service", target.service().name());
            span.end(response.status());
            requestContext.runOnContext(ignored -> ResponseWriter.write(http.response(), response));
        });
    }

    /** Replaces a response that would take memory which others hold. */
    private OutboundResponse requireMemory(OutboundResponse response) {
        return limiter.hasRoomForResponse(response.body().length())
                ? response
                : Refusals.refused(
                        RefusalCode.BACKEND_LOST, response.run(), "memory does not suffice for the response");
    }

    private Future<OutboundResponse> handle(
            HttpServerRequest http, RequestTarget target, HopSpan span, Future<Void> clientDisconnected) {
        InboundRequest head;
        try {
            head = parser.parse(http, target, span.traceparent());
        } catch (RefusedException e) {
            return Future.failedFuture(e);
        }
        HeldBody body = bodyReader.read(http);
        return body.held()
                .compose(bytes -> handler.handle(withBody(head, bytes), clientDisconnected))
                .onComplete(done -> body.close());
    }

    private boolean isTokenRequest(HttpServerRequest http, RequestTarget target) {
        return http.method().equals(HttpMethod.POST) && http.path().equals("/s/" + target.service() + TOKEN_PATH);
    }

    private void issueToken(HttpServerRequest http, RequestTarget target) {
        Context requestContext = Vertx.currentContext();
        Optional<String> key = Optional.ofNullable(http.getParam("key")).map(RequestTarget::key);
        handler.issueToken(target.service(), key, parser.deadline(http, target.service()))
                .otherwise(failure -> toRefusal(http, failure))
                .onSuccess(response ->
                        requestContext.runOnContext(ignored -> ResponseWriter.write(http.response(), response)));
    }

    private void refuse(HttpServerRequest http, Refusal refusal) {
        metrics.onRefusedAtEdge(refusal.code());
        if (!http.isEnded()) {
            ResponseWriter.writeAndClose(http.response(), refusal);
            return;
        }
        ResponseWriter.write(http.response(), OutboundResponse.refused(refusal));
    }

    private static OutboundResponse toRefusal(HttpServerRequest http, Throwable failure) {
        if (failure instanceof RequestRefusedException refused) {
            return refused(http, EdgeRefusals.of(refused.reason()));
        }
        if (failure instanceof RefusedException refused) {
            return refused(http, refused.refusal());
        }
        LOGGER.atWarning().withCause(failure).log("event=request_failed path=%s", http.path());
        return OutboundResponse.refused(
                new Refusal(RefusalCode.BACKEND_LOST, RunState.UNKNOWN, "internal error", Duration.ZERO));
    }

    private static OutboundResponse refused(HttpServerRequest http, Refusal refusal) {
        if (!http.isEnded()) {
            http.response().putHeader("Connection", "close");
        }
        return OutboundResponse.refused(refusal);
    }

    private static InboundRequest withBody(InboundRequest head, Buffer body) {
        return new InboundRequest(
                head.service(),
                head.key(),
                head.method(),
                head.path(),
                head.headers(),
                body,
                head.rank(),
                head.deadline(),
                head.attemptToken(),
                head.traceparent());
    }
}
