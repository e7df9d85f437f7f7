package io.daisyhoist.daemon.process;

import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.error.ErrorCode;

/**
 * Ends the process after an error from which it cannot recover, such as an exhausted heap, so that no process goes on
 * without one of its threads or loops. Stateless.
 */
public final class FatalErrors {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private FatalErrors() {}

    /** Makes uncaught errors of all threads end the process; other uncaught exceptions are logged. */
    public static void install() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> handle(thread.getName(), failure));
    }

    /** Ends the process if the failure is an error, and logs it otherwise. */
    public static void handle(String source, Throwable failure) {
        if (failure instanceof Error error) {
            exit(source, error);
            return;
        }
        LOGGER.atSevere().withCause(failure).log("event=uncaught_exception source=%s", source);
    }

    /** Ends the process without shutdown hooks, which could block. */
    public static void exit(String source, Error error) {
        // Written directly, because a log handler may need memory or a thread that is gone.
        System.err.println("event=fatal_error source=" + source + " error=\"" + error + "\"");
        Runtime.getRuntime().halt(ErrorCode.INTERNAL.exitCode());
    }
}
