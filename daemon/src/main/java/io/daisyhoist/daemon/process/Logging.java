package io.daisyhoist.daemon.process;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

import io.daisyhoist.daemon.process.settings.LogLevel;

/** Configures Flogger's {@code java.util.logging} backend to write one line per event to standard error. */
final class Logging {
    private static final String FORMAT = "ts=%1$tFT%1$tT.%1$tL%1$tz level=%4$s %5$s%6$s%n";

    private Logging() {}

    static void configure(LogLevel level) {
        System.setProperty("java.util.logging.SimpleFormatter.format", FORMAT);
        LogManager.getLogManager().reset();
        Handler handler = new ConsoleHandler();
        handler.setLevel(level.javaLevel());
        Logger root = Logger.getLogger("");
        root.addHandler(handler);
        root.setLevel(Level.WARNING);
        Logger.getLogger("io.daisyhoist").setLevel(level.javaLevel());
    }
}
