package io.daisyhoist.testkit.platform;

import io.daisyhoist.testkit.launch.StandIn;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs the simulated platform as a process. */
public final class PlatformMain {
    private PlatformMain() {}

    /** Starts the server. */
    public static void main(String[] args) {
        ArgumentParser parser = StandIn.parser("platform", "Simulated key-value store of the platform");
        StandIn.intOption(parser, "--port", 0, "port; 0 selects a free one");
        Namespace options = StandIn.parse(parser, args);
        StandIn.run(vertx -> PlatformServer.start(vertx, options.getString("host"), options.getInt("port"))
                .map(server -> "port=" + server.port()));
    }
}
