package io.daisyhoist.daemon.request;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;
import io.daisyhoist.core.atmostonce.AttemptToken;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;

/**
 * A validated request of a client. Immutable; the body must not be changed.
 *
 * @param service service that the path names
 * @param key key that the path names, decoded
 * @param method HTTP method
 * @param path whole path with the query, as the client sent it
 * @param headers end-to-end headers, without the project's own
 * @param body the body, may be empty
 * @param rank priority
 * @param deadline time after which the answer is of no use
 * @param attemptToken identity of the operation, for a request that must run at most once
 * @param traceparent W3C trace context of the span that handles the request, if tracing is on
 */
public record InboundRequest(
        ServiceName service,
        Optional<String> key,
        String method,
        String path,
        List<HttpField> headers,
        Buffer body,
        Rank rank,
        Deadline deadline,
        Optional<AttemptToken> attemptToken,
        Optional<String> traceparent) {
    /** Copies the list. */
    public InboundRequest {
        headers = List.copyOf(headers);
    }
}
