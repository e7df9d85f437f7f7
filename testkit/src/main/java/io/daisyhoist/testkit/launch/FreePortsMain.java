package io.daisyhoist.testkit.launch;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Prints free loopback ports, one a line. */
public final class FreePortsMain {
    private FreePortsMain() {}

    /** Prints as many ports as the argument asks for. */
    public static void main(String[] args) {
        ArgumentParser parser = ArgumentParsers.newFor("free-ports").build().description("Prints free loopback ports");
        parser.addArgument("count").type(Integer.class);
        FreePorts.find(StandIn.parse(parser, args).getInt("count")).forEach(System.out::println);
    }
}
