package io.daisyhoist.daemon.telemetry;

import java.util.Collections;
import java.util.Map;
import java.util.Optional;

import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.TracerProvider;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;

/** Starts a span per hop as a child of the span in the given W3C trace context. Thread-safe. */
public final class HopTracer {
    private static final TextMapGetter<Map<String, String>> GETTER = new MapGetter();

    private final Tracer tracer;

    /** Creates a tracer; {@link TracerProvider#noop()} disables tracing at negligible cost. */
    public HopTracer(TracerProvider provider) {
        this.tracer = provider.get("io.daisyhoist.daemon");
    }

    /** Returns a tracer that records nothing. */
    public static HopTracer noop() {
        return new HopTracer(TracerProvider.noop());
    }

    /**
     * Starts a span.
     *
     * @param traceparent trace context of the caller; if absent or malformed, a new trace is started
     */
    public HopSpan start(Hop hop, Optional<String> traceparent) {
        Context parent = traceparent
                .map(text -> W3CTraceContextPropagator.getInstance()
                        .extract(Context.root(), Map.of("traceparent", text), GETTER))
                .orElse(Context.root());
        return new HopSpan(
                tracer.spanBuilder(hop.spanName())
                        .setParent(parent)
                        .setSpanKind(hop.kind())
                        .startSpan(),
                traceparent);
    }

    /** Reads the trace context from a map. */
    private static final class MapGetter implements TextMapGetter<Map<String, String>> {
        @Override
        public Iterable<String> keys(Map<String, String> carrier) {
            return carrier == null ? Collections.emptySet() : carrier.keySet();
        }

        @Override
        public String get(Map<String, String> carrier, String key) {
            return carrier == null ? null : carrier.get(key);
        }
    }
}
