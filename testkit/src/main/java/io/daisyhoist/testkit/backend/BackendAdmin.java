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
 * Admin interface of the stand-in on a port of its own, so that no simulated fault affects it. Confined to the event loop
 * of its server.
 *
 * <p>{@code GET /admin/executions[?since=N]}, {@code GET /admin/status}, and {@code POST} to {@code /admin/drain},
 * {@code /admin/cold}, {@code /admin/slow} {@code {factor, for_ms}}, {@code /admin/freeze} {@code {for_ms}},
 * {@code /admin/resume} and {@code /admin/crash}.
 */
final class BackendAdmin {
    private final Vertx vertx;
    private final BackendServer server;

    BackendAdmin(Vertx vertx, BackendServer server) {
        this.vertx = vertx;
        this.server = server;
    }

    Future<Integer> listen(String host, int port) {
        Router router = Router.router(vertx);
        router.get("/admin/executions").handler(this::listExecutions);
        router.get("/admin/status").handler(call -> call.json(server.status()));
        router.route().handler(BodyHandler.create(false));
        command(router, "drain", options -> server.drain());
        command(router, "cold", options -> server.goCold());
        command(router, "crash", options -> server.crash());
        command(router, "resume", options -> server.resume());
        command(router, "freeze", options -> server.freeze(options.getLong("for_ms", 0L)));
        command(
                router,
                "slow",
                options -> server.slowDown(options.getDouble("factor", 10.0), options.getLong("for_ms", 1_000L)));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(port, host)
                .map(HttpServer::actualPort);
    }

    private void command(Router router, String name, Consumer<JsonObject> action) {
        router.post("/admin/" + name).handler(call -> {
            action.accept(Optional.ofNullable(call.body().asJsonObject()).orElseGet(JsonObject::new));
            call.json(server.status());
        });
    }

    private void listExecutions(RoutingContext call) {
        String since = Optional.ofNullable(call.request().getParam("since")).orElse("0");
        List<Execution> entries = server.executions().since(Integer.parseInt(since));
        Buffer body = new JsonArray(entries.stream().map(JsonObject::mapFrom).toList()).toBuffer();
        call.response().putHeader("Content-Type", "application/json").end(body);
    }
}
