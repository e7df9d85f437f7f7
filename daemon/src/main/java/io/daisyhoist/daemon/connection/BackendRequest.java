package io.daisyhoist.daemon.connection;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.time.Deadline;
import io.vertx.core.buffer.Buffer;

/**
 * Request to the local backend server. Immutable; the body must not be changed.
 *
 * @param method HTTP method
 * @param path path and query
 * @param headers end-to-end headers
 * @param body request body, possibly empty
 * @param fencingToken value of the {@code Daisyhoist-Fence} header, if the request requires ownership
 * @param deadline time after which the response is useless; the remaining time is sent to the backend server
 */
public record BackendRequest(
        String method,
        String path,
        List<HttpField> headers,
        Buffer body,
        Optional<String> fencingToken,
        Deadline deadline) {
    /** Copies {@code headers} defensively. */
    public BackendRequest {
        headers = List.copyOf(headers);
    }
}
