package io.daisyhoist.daemon.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;

/** Span of one hop of a request. Thread-safe. */
public final class HopSpan {
    private static final int SERVER_ERROR = 500;

    private final Span span;
    private final Optional<String> traceparent;

    HopSpan(Span span, Optional<String> inherited) {
        this.span = span;
        this.traceparent = span.getSpanContext().isValid() ? Optional.ofNullable(inject(span)) : inherited;
    }

    /** Returns the W3C trace context for the next hop; that of the caller when tracing is off. */
    public Optional<String> traceparent() {
        return traceparent;
    }

    /** Adds an attribute. */
    public HopSpan attribute(String name, String value) {
        span.setAttribute(name, value);
        return this;
    }

    /** Ends the span with the HTTP status of the hop's answer. */
    public void end(int status) {
        span.setAttribute("http.response.status_code", status);
        if (status >= SERVER_ERROR) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }

    /** Ends the span of a hop that got no answer. */
    public void endWithError(String reason) {
        span.setStatus(StatusCode.ERROR, reason);
        span.end();
    }

    private static String inject(Span span) {
        Map<String, String> carrier = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), carrier, Map::put);
        return carrier.get("traceparent");
    }
}
