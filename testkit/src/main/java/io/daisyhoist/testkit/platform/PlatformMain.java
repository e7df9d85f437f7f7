package io.daisyhoist.testkit.platform;

import io.daisyhoist.testkit.launch.MainSupport;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;

/** Runs the simulated platform as a process. */
public final class PlatformMain {
    private PlatformMain() {}

    /** Starts the server. */
    public static void main(String[] args) {
        ArgumentParser parser = MainSupport.serverParser("platform", "Simulated key-value store of the platform");
        MainSupport.intOption(parser, "--port", 0, "port; 0 selects a free one");
        Namespace options = MainSupport.parse(parser, args);
        MainSupport.runServer(vertx -> PlatformServer.start(vertx, options.getString("host"), options.getInt("port"))
                .map(server -> "port=" + server.port()));
    }
}
