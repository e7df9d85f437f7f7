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
 * A validated client request. Immutable; the body must not be changed.
 *
 * @param service service in the path
 * @param key decoded key in the path, if there is one
 * @param method HTTP method
 * @param path path and query as sent by the client
 * @param headers end-to-end headers without {@code Daisyhoist-*} headers
 * @param body request body, possibly empty
 * @param rank priority
 * @param deadline time after which the response is useless to the client
 * @param attemptToken identity of the operation, if the request must run at most once
 * @param traceparent W3C trace context of the span that handles the request, if tracing is enabled
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
    /** Copies {@code headers} defensively. */
    public InboundRequest {
        headers = List.copyOf(headers);
    }
}
