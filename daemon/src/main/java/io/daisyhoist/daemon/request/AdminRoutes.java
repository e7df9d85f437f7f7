package io.daisyhoist.daemon.request;

import java.util.Optional;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/** HTTP routes of the admin port: status, metrics and announcements. Stateless. */
public final class AdminRoutes {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAX_BODY_BYTES = 16 << 10;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int INTERNAL_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final AdminHandler handler;
    private final Supplier<String> metrics;

    /**
     * Creates the routes.
     *
     * @param metrics supplies all metrics in the Prometheus text format
     */
    public AdminRoutes(AdminHandler handler, Supplier<String> metrics) {
        this.handler = handler;
        this.metrics = metrics;
    }

    /** Returns a router with the routes. */
    public Router router(Vertx vertx) {
        Router router = Router.router(vertx);
        router.get("/health").handler(context -> sendState(context, handler.unhealthyReason()));
        router.get("/ready").handler(context -> sendState(context, handler.notReadyReason()));
        router.get("/metrics")
                .handler(context -> context.response()
                        .putHeader("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
                        .end(metrics.get()));
        router.get("/v1/status").handler(context -> sendJson(context, handler.status()));
        router.get("/v1/owner").handler(this::owner);
        router.post("/v1/drain").handler(context -> sendJson(context, handler.drain()));
        router.post("/v1/announce")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(this::announce);
        router.route().failureHandler(AdminRoutes::handleFailure);
        return router;
    }

    private static void sendState(RoutingContext context, Optional<String> reason) {
        context.response().setStatusCode(reason.isEmpty() ? 200 : UNAVAILABLE);
        context.json(new JsonObject().put("ok", reason.isEmpty()).put("reason", reason.orElse("")));
    }

    private static void sendJson(RoutingContext context, Future<JsonObject> result) {
        result.onSuccess(context::json).onFailure(context::fail);
    }

    private void owner(RoutingContext context) {
        String service = context.request().getParam("service", "");
        String key = RequestTarget.key(context.request().getParam("key", ""));
        handler.owner(new ServiceName(service), key)
                .onSuccess(owner -> owner.ifPresentOrElse(
                        context::json, () -> sendError(context, NOT_FOUND, "unknown service or service without keys")))
                .onFailure(context::fail);
    }

    private void announce(RoutingContext context) {
        handler.announce(AnnouncementParser.parse(context.body().asString("UTF-8")))
                .onSuccess(done -> context.response().setStatusCode(204).end())
                .onFailure(context::fail);
    }

    private static void handleFailure(RoutingContext context) {
        Throwable failure = context.failure();
        if (failure instanceof IllegalArgumentException || failure instanceof RefusedException) {
            sendError(context, BAD_REQUEST, failure.getMessage());
            return;
        }
        if (failure != null && context.statusCode() == INTERNAL_ERROR) {
            LOGGER.atWarning().withCause(failure).log(
                    "event=admin_request_failed path=%s", context.request().path());
        }
        sendError(
                context, context.statusCode() < BAD_REQUEST ? INTERNAL_ERROR : context.statusCode(), "request failed");
    }

    private static void sendError(RoutingContext context, int status, String message) {
        if (!context.response().ended()) {
            context.response().setStatusCode(status);
            context.json(new JsonObject().put("error", message));
        }
    }
}
