package io.daisyhoist.testkit.launch;

import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Helper methods for the main classes of the testkit. Stateless. */
public final class MainSupport {
    private MainSupport() {}

    /** Creates a parser with the host option that all servers share. */
    public static ArgumentParser serverParser(String program, String description) {
        ArgumentParser parser = ArgumentParsers.newFor(program).build().description(description);
        parser.addArgument("--host").setDefault("127.0.0.1").help("numeric address to listen on");
        return parser;
    }

    /** Adds an integer option. */
    public static void intOption(ArgumentParser parser, String name, int defaultValue, String help) {
        parser.addArgument(name)
                .type(Integer.class)
                .setDefault(defaultValue)
                .help(help + " (default " + defaultValue + ")");
    }

    /** Adds a decimal option. */
    public static void decimalOption(ArgumentParser parser, String name, double defaultValue, String help) {
        parser.addArgument(name)
                .type(Double.class)
                .setDefault(defaultValue)
                .help(help + " (default " + defaultValue + ")");
    }

    /** Adds a boolean option without a value. */
    public static void flagOption(ArgumentParser parser, String name, String help) {
        parser.addArgument(name).action(Arguments.storeTrue()).help(help);
    }

    /** Parses the arguments; prints the usage and exits with code 2 if they are invalid. */
    public static Namespace parse(ArgumentParser parser, String[] args) {
        try {
            return parser.parseArgs(args);
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(2);
            throw new IllegalStateException(e);
        }
    }

    /** Starts a server and prints one line when it is ready; exits with code 1 if the start fails. */
    public static void runServer(Function<Vertx, Future<String>> startServer) {
        Vertx vertx = createVertx();
        startServer
                .apply(vertx)
                .onSuccess(line -> System.out.println("event=ready " + line))
                .onFailure(cause -> {
                    System.err.println("event=start_failed reason=\"" + cause.getMessage() + "\"");
                    System.exit(1);
                });
    }

    /** Creates a {@link Vertx} with few threads. */
    public static Vertx createVertx() {
        return Vertx.vertx(new VertxOptions().setEventLoopPoolSize(2).setWorkerPoolSize(2));
    }
}
