package io.daisyhoist.daemon.telemetry;

import java.nio.file.Path;
import java.util.Optional;

/**
 * Destinations of spans; tracing is disabled if both are empty. Immutable.
 *
 * @param traceFile file to which each span is written as a line of JSON
 * @param otlpEndpoint URL of an OpenTelemetry collector (OTLP over HTTP)
 */
public record TracingSettings(Optional<Path> traceFile, Optional<String> otlpEndpoint) {
    /** Disables tracing. */
    public static final TracingSettings DISABLED = new TracingSettings(Optional.empty(), Optional.empty());
}
