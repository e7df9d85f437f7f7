package io.daisyhoist.testkit.link;

import java.util.Locale;

import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.testkit.launch.MainSupport;
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
 * Runs a proxy as a process. {@code POST /admin/link} {@code {side: to_target|to_client|both, mode:
 * pass|delay|stall|cut, delay_ms}} on the admin port changes its mode.
 */
public final class LinkMain {
    private LinkMain() {}

    /** Starts the proxy. */
    public static void main(String[] args) {
        ArgumentParser parser = MainSupport.serverParser("link", "TCP proxy that can cut, stall or delay traffic");
        MainSupport.intOption(parser, "--port", 0, "port to listen on; 0 selects a free one");
        MainSupport.intOption(parser, "--admin-port", 0, "port of the admin interface; 0 selects a free one");
        parser.addArgument("--target").required(true).help("host:port that the proxy connects to");
        Namespace options = MainSupport.parse(parser, args);
        MainSupport.runServer(vertx -> start(vertx, options));
    }

    private static Future<String> start(Vertx vertx, Namespace options) {
        String host = options.getString("host");
        Endpoint target = Endpoint.parse(options.getString("target"));
        return LinkProxy.start(vertx, host, options.getInt("port"), target.host(), target.port())
                .compose(proxy -> vertx.createHttpServer()
                        .requestHandler(adminRouter(vertx, proxy))
                        .listen(options.getInt("admin_port"), host)
                        .map(HttpServer::actualPort)
                        .map(adminPort -> "port=" + proxy.port() + " admin_port=" + adminPort));
    }

    private static Router adminRouter(Vertx vertx, LinkProxy proxy) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/admin/link").handler(call -> changeMode(call, proxy));
        return router;
    }

    private static void changeMode(RoutingContext call, LinkProxy proxy) {
        JsonObject body = call.body().asJsonObject();
        LinkProxy.Side side =
                LinkProxy.Side.valueOf(body.getString("side", "both").toUpperCase(Locale.ROOT));
        LinkMode mode = LinkMode.valueOf(body.getString("mode").toUpperCase(Locale.ROOT));
        proxy.setMode(side, mode, body.getLong("delay_ms", 0L))
                .onSuccess(done -> call.json(body))
                .onFailure(call::fail);
    }
}
