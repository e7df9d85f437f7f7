package io.daisyhoist.testkit.backend;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;

/**
 * Admin interface of the simulated backend server, on a separate port so that simulated faults do not affect it.
 * Confined to the event loop of its server.
 *
 * <p>{@code GET /admin/executions[?since=N]}, {@code GET /admin/status}, and {@code POST} to {@code /admin/drain},
 * {@code /admin/cold}, {@code /admin/slow} {@code {factor, for_ms}}, {@code /admin/freeze} {@code {for_ms}},
 * {@code /admin/resume} and {@code /admin/crash}.
 */
final class BackendAdminServer {
    private final Vertx vertx;
    private final BackendServer server;

    BackendAdminServer(Vertx vertx, BackendServer server) {
        this.vertx = vertx;
        this.server = server;
    }

    Future<Integer> listen(String host, int port) {
        Router router = Router.router(vertx);
        router.get("/admin/executions").handler(this::listExecutions);
        router.get("/admin/status").handler(call -> call.json(server.status()));
        router.route().handler(BodyHandler.create(false));
        addCommand(router, "drain", options -> server.drain());
        addCommand(router, "cold", options -> server.restartColdStart());
        addCommand(router, "crash", options -> server.crash());
        addCommand(router, "resume", options -> server.resume());
        addCommand(router, "freeze", options -> server.suspend(options.getLong("for_ms", 0L)));
        addCommand(
                router,
                "slow",
                options -> server.slowDown(options.getDouble("factor", 10.0), options.getLong("for_ms", 1_000L)));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(port, host)
                .map(HttpServer::actualPort);
    }

    private void addCommand(Router router, String name, Consumer<JsonObject> action) {
        router.post("/admin/" + name).handler(call -> {
            action.accept(Optional.ofNullable(call.body().asJsonObject()).orElseGet(JsonObject::new));
            call.json(server.status());
        });
    }

    private void listExecutions(RoutingContext call) {
        String since = Optional.ofNullable(call.request().getParam("since")).orElse("0");
        List<Execution> entries = server.executionLog().entriesSince(Integer.parseInt(since));
        Buffer body = new JsonArray(entries.stream().map(JsonObject::mapFrom).toList()).toBuffer();
        call.response().putHeader("Content-Type", "application/json").end(body);
    }
}
