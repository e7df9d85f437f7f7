package io.daisyhoist.daemon.request;

import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.vertx.core.Future;

/** Handles client requests. Called on the edge's event loops; must not block. */
public interface RequestHandler {
    /**
     * Handles a request; a refusal is a response, not a failed future.
     *
     * @param cancelled completes when the client disconnects before the response
     */
    Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled);

    /** Issues an attempt token for an operation that must run at most once. */
    Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline);
}
