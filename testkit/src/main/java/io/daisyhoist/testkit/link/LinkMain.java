package io.daisyhoist.testkit.link;

import java.util.Locale;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.testkit.launch.StandIn;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * Runs a relay as a process. {@code POST /admin/link} {@code {side: to_target|to_client|both, mode:
 * pass|delay|stall|cut, delay_ms}} on the admin port changes it.
 */
public final class LinkMain {
    private LinkMain() {}

    /** Starts the relay. */
    public static void main(String[] args) {
        ArgumentParser parser = StandIn.parser("link", "TCP relay that can be cut, stalled or delayed");
        StandIn.intOption(parser, "--port", 0, "port to relay; 0 takes a free one");
        StandIn.intOption(parser, "--admin-port", 0, "port of the admin interface; 0 takes a free one");
        parser.addArgument("--target").required(true).help("host:port that the relay connects to");
        Namespace options = StandIn.parse(parser, args);
        StandIn.run(vertx -> start(vertx, options));
    }

    private static Future<String> start(Vertx vertx, Namespace options) {
        String host = options.getString("host");
        Endpoint target = Endpoint.parse(options.getString("target"));
        return LinkProxy.start(vertx, host, options.getInt("port"), target.host(), target.port())
                .compose(proxy -> vertx.createHttpServer()
                        .requestHandler(admin(vertx, proxy))
                        .listen(options.getInt("admin_port"), host)
                        .map(HttpServer::actualPort)
                        .map(adminPort -> "port=" + proxy.port() + " admin_port=" + adminPort));
    }

    private static Router admin(Vertx vertx, LinkProxy proxy) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/admin/link").handler(call -> change(call, proxy));
        return router;
    }

    private static void change(RoutingContext call, LinkProxy proxy) {
        JsonObject body = call.body().asJsonObject();
        LinkProxy.Side side =
                LinkProxy.Side.valueOf(body.getString("side", "both").toUpperCase(Locale.ROOT));
        LinkMode mode = LinkMode.valueOf(body.getString("mode").toUpperCase(Locale.ROOT));
        proxy.set(side, mode, body.getLong("delay_ms", 0L))
                .onSuccess(done -> call.json(body))
                .onFailure(call::fail);
    }
}
