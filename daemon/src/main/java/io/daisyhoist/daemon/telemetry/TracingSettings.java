package io.daisyhoist.daemon.telemetry;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Where spans go; nowhere when both are empty. Immutable.
 *
 * @param spansFile file that receives a line of JSON per span
 * @param otlpEndpoint URL of an OpenTelemetry collector (OTLP over HTTP)
 */
public record TracingSettings(Optional<Path> spansFile, Optional<String> otlpEndpoint) {
    /** Tracing is off. */
    public static final TracingSettings OFF = new TracingSettings(Optional.empty(), Optional.empty());
}
