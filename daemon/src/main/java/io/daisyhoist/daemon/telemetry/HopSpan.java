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
    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final Span span;
    private final Optional<String> traceparent;

    HopSpan(Span span, Optional<String> callerTraceparent) {
        this.span = span;
        this.traceparent = span.getSpanContext().isValid() ? Optional.ofNullable(inject(span)) : callerTraceparent;
    }

    /** Returns the W3C trace context for the next hop, or that of the caller if tracing is disabled. */
    public Optional<String> traceparent() {
        return traceparent;
    }

    /** Adds an attribute to the span. */
    public HopSpan attribute(String name, String value) {
        span.setAttribute(name, value);
        return this;
    }

    /** Ends the span with the HTTP status of the hop's response. */
    public void end(int status) {
        span.setAttribute("http.response.status_code", status);
        if (status >= FIRST_SERVER_ERROR_STATUS) {
            span.setStatus(StatusCode.ERROR);
        }
        span.end();
    }

    /** Ends the span of a hop that got no response. */
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
