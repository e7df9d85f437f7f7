package io.daisyhoist.daemon.request;

import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.time.Deadline;
import io.vertx.core.Future;

/** Answers the requests of clients. Called on the edge's event loops; must not block. */
public interface RequestHandler {
    /**
     * Answers a request; a refusal is an answer, not a failure.
     *
     * @param cancelled completes when the client has gone before it was answered
     */
    Future<OutboundResponse> handle(InboundRequest request, Future<Void> cancelled);

    /** Issues a token for an operation that must run at most once. */
    Future<OutboundResponse> issueToken(ServiceName service, Optional<String> key, Deadline deadline);
}
