package io.daisyhoist.daemon.connection;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.time.Deadline;
import io.vertx.core.buffer.Buffer;

/**
 * A request for the local backend server. Immutable; the body must not be changed.
 *
 * @param method HTTP method
 * @param path path with the query
 * @param headers end-to-end headers
 * @param body the body, may be empty
 * @param fence value of {@code Daisyhoist-Fence} for a request that needs ownership
 * @param deadline time after which the answer is of no use; its remainder is sent along
 */
public record BackendRequest(
        String method, String path, List<HttpField> headers, Buffer body, Optional<String> fence, Deadline deadline) {
    /** Copies the list. */
    public BackendRequest {
        headers = List.copyOf(headers);
    }
}
