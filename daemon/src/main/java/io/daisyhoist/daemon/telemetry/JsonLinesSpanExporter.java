package io.daisyhoist.daemon.telemetry;

import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;

import com.google.common.flogger.FluentLogger;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import io.vertx.core.json.JsonObject;

/** Appends each span to a file as a line of JSON. Called by the exporter thread, one batch at a time. */
final class JsonLinesSpanExporter implements SpanExporter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Path file;

    JsonLinesSpanExporter(Path file) {
        this.file = file;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        try (BufferedWriter writer = Files.newBufferedWriter(
                file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (SpanData span : spans) {
                writer.write(toJsonLine(span));
                writer.newLine();
            }
            return CompletableResultCode.ofSuccess();
        } catch (IOException e) {
            LOGGER.atWarning().withCause(e).log("event=spans_not_written file=%s count=%d", file, spans.size());
            return CompletableResultCode.ofFailure();
        }
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }

    private static String toJsonLine(SpanData span) {
        JsonObject attributes = new JsonObject();
        span.getResource().getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value));
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value));
        return new JsonObject()
                .put("trace_id", span.getTraceId())
                .put("span_id", span.getSpanId())
                .put("parent_span_id", span.getParentSpanId())
                .put("name", span.getName())
                .put("kind", span.getKind().name())
                .put("status", span.getStatus().getStatusCode().name())
                .put("start_nanos", span.getStartEpochNanos())
                .put("end_nanos", span.getEndEpochNanos())
                .put("attributes", attributes)
                .encode();
    }
}
