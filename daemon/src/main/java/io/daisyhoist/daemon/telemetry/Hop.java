package io.daisyhoist.daemon.telemetry;

import io.opentelemetry.api.trace.SpanKind;

/** Hops of a request, each of which is traced as one span. */
public enum Hop {
    CLIENT_EDGE("client edge", SpanKind.SERVER),
    PEER_FORWARD("peer forward", SpanKind.CLIENT),
    PEER_RECEIVE("peer receive", SpanKind.SERVER),
    BACKEND_CALL("backend call", SpanKind.CLIENT);

    private final String spanName;
    private final SpanKind kind;

    Hop(String spanName, SpanKind kind) {
        this.spanName = spanName;
        this.kind = kind;
    }

    String spanName() {
        return spanName;
    }

    SpanKind kind() {
        return kind;
    }
}
