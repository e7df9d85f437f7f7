package io.daisyhoist.daemon.process.settings;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import java.util.logging.Level;

/** Minimum severity of the events that a daemon logs. */
public enum LogLevel {
    ERROR(Level.SEVERE),
    WARN(Level.WARNING),
    INFO(Level.INFO),
    DEBUG(Level.FINE);

    private final Level javaLevel;

    LogLevel(Level javaLevel) {
        this.javaLevel = javaLevel;
    }

    /** Returns the level of {@code java.util.logging}, the logging back end. */
    public Level javaLevel() {
        return javaLevel;
    }

    /** Returns the level with the given lower-case name, if there is one. */
    public static Optional<LogLevel> fromLabel(String label) {
        return Arrays.stream(values())
                .filter(level -> level.name().toLowerCase(Locale.ROOT).equals(label))
                .findFirst();
    }
}
