package io.daisyhoist.cli;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;

import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.core.time.SystemTimeSource;

/** Entry point of the command-line tool. Stateless. */
public final class Main {
    private Main() {}

    /** Runs one command and exits with its exit code. */
    @SuppressWarnings("checkstyle:IllegalCatch")
    public static void main(String[] arguments) {
        PrintStream out = new PrintStream(System.out, true, StandardCharsets.UTF_8);
        PrintStream err = new PrintStream(System.err, true, StandardCharsets.UTF_8);
        int exitCode;
        try {
            CommandLineRunner runner = new CommandLineRunner(
                    System.getenv(), Path.of(""), out, err, new SystemTimeSource(), new SecureRandom());
            exitCode = runner.run(arguments);
        } catch (RuntimeException e) {
            // Scripts rely on the exit code; the JVM's code for an uncaught exception is the same, but unspecified.
            e.printStackTrace(err);
            exitCode = ErrorCode.INTERNAL.exitCode();
        }
        System.exit(exitCode);
    }
}
