package io.daisyhoist.daemon.process;

import java.nio.file.Path;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.daemon.process.settings.DaemonSettings;
import io.daisyhoist.daemon.telemetry.BoundedLogHandler;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** Entry point of {@code daisyhoistd}. */
public final class DaemonMain {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private DaemonMain() {}

    /** Runs the daemon until it is stopped; exits with the exit code of the error if it cannot start. */
    public static void main(String[] args) {
        ArgumentParser parser = parser();
        try {
            Namespace arguments = parser.parseArgs(args);
            run(Path.of(arguments.getString("config")), arguments.getBoolean("check"));
        } catch (ArgumentParserException e) {
            parser.handleError(e);
            System.exit(ErrorCode.USAGE.exitCode());
        } catch (DaisyhoistException e) {
            System.err.println("daisyhoistd: " + e.getMessage());
            System.exit(e.code().exitCode());
        }
    }

    private static ArgumentParser parser() {
        ArgumentParser parser = ArgumentParsers.newFor("daisyhoistd")
                .build()
                .defaultHelp(true)
                .description("Routes requests to the backend server beside it and to those of its peers.")
                .epilog("Exit codes: 0 stopped, 1 internal fault, 2 usage, 3 invalid settings.\n"
                        + "Example: daisyhoistd --config /etc/daisyhoist/daemon.toml");
        parser.addArgument("--config").metavar("FILE").required(true).help("settings file (TOML)");
        parser.addArgument("--check").action(Arguments.storeTrue()).help("validate the settings file and exit");
        return parser;
    }

    private static void run(Path file, boolean checkOnly) {
        DaemonSettings settings = DaemonSettings.load(file);
        if (checkOnly) {
            return;
        }
        BoundedLogHandler log =
                BoundedLogHandler.install(System.err, settings.logLevel().javaLevel());
        FatalErrors.install();
        Daemon daemon = new Daemon(settings);
        daemon.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon), "shutdown"));
        daemon.whenStopped().whenComplete((done, failure) -> {
            if (failure != null) {
                LOGGER.atSevere().log("event=daemon_failed reason=\"%s\"", failure.getMessage());
            }
            log.close();
            Runtime.getRuntime().halt(failure == null ? 0 : ErrorCode.INTERNAL.exitCode());
        });
    }

    private static void stop(Daemon daemon) {
        daemon.drain();
        daemon.whenStopped().join();
    }
}
