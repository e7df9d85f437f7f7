package io.daisyhoist.daemon.telemetry;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import io.vertx.core.json.JsonObject;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards trace propagation across the hops of a request. */
class TracingTest {
    @Test
    void start_consecutiveHops_shareTheClientsTrace(@TempDir Path directory) throws Exception {
        Path file = directory.resolve("spans.jsonl");
        String clientTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        try (Tracing tracing = new Tracing(new TracingSettings(Optional.of(file), Optional.empty()), "d1")) {
            Optional<String> traceparent = Optional.of(clientTraceparent);
            for (Hop hop : Hop.values()) {
                HopSpan span = tracing.hopTracer().start(hop, traceparent);
                traceparent = span.traceparent();
                span.end(200);
            }
        }
        List<JsonObject> spans =
                Files.readAllLines(file).stream().map(JsonObject::new).toList();
        assertEquals(4, spans.size());
        String parent = "b7ad6b7169203331";
        for (JsonObject span : spans) {
            assertEquals("0af7651916cd43dd8448eb211c80319c", span.getString("trace_id"));
            assertEquals(parent, span.getString("parent_span_id"));
            parent = span.getString("span_id");
        }
        assertEquals(
                4,
                spans.stream()
                        .map(span -> span.getString("span_id"))
                        .collect(Collectors.toSet())
                        .size());
    }

    @Test
    void start_tracingDisabled_propagatesTheClientsContext() {
        try (Tracing tracing = new Tracing(TracingSettings.DISABLED, "d1")) {
            Optional<String> clientTraceparent = Optional.of("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01");
            assertTrue(tracing.hopTracer()
                    .start(Hop.CLIENT_EDGE, clientTraceparent)
                    .traceparent()
                    .orElseThrow()
                    .contains("0af7651916cd43dd8448eb211c80319c"));
            assertEquals(
                    Optional.empty(),
                    tracing.hopTracer().start(Hop.CLIENT_EDGE, Optional.empty()).traceparent());
        }
    }
}
