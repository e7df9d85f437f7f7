package io.daisyhoist.mesh.connection;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.daemon.connection.ResponseHeads;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Finds faults that show that a response is not, or not only, the response to a request. Immutable. */
final class ResponseInspector {
    private static final int FIRST_REDIRECTION_STATUS = 300;

    private final HeaderNames headerNames;
    private final String requestId;

    ResponseInspector(HeaderNames headerNames, String requestId) {
        this.headerNames = headerNames;
        this.requestId = requestId;
    }

    /** Returns the fault of a head; empty if it has none. */
    Optional<ResponseFault> faultOfHead(HttpClientResponse response) {
        if (ResponseHeads.containsStatusLine(response)) {
            return Optional.of(ResponseFault.CONTAINS_STATUS_LINE);
        }
        if (!isResponseToRequest(response)) {
            return Optional.of(ResponseFault.FOREIGN_ID);
        }
        if (isRepeated(response, headerNames.signature()) || isRepeated(response, headerNames.notRun())) {
            return Optional.of(ResponseFault.REPEATED_FIELD);
        }
        if (!ResponseHeads.isFinal(response.statusCode())) {
            return Optional.of(
                    ResponseHeads.isInterim(response.statusCode())
                            ? ResponseFault.INTERIM_STATUS
                            : ResponseFault.INVALID_STATUS);
        }
        return Optional.empty();
    }

    /** Returns the fault of a complete response whose head has none; empty if it has none either. */
    Optional<ResponseFault> faultOfBody(HttpClientResponse response, Buffer body) {
        if (isSuccess(response) && response.getHeader(headerNames.signature()) == null) {
            return Optional.of(ResponseFault.UNSIGNED);
        }
        if (isSuccess(response) && response.getHeader("content-encoding") != null) {
            return Optional.of(ResponseFault.ENCODED);
        }
        if (ResponseHeads.containsHead(response, body, headerNames.requestId())) {
            return Optional.of(ResponseFault.BODY_CONTAINS_HEAD);
        }
        return Optional.empty();
    }

    /**
     * Accepts only a response that contains the id of this request. On a reused connection, any other one may be a late
     * duplicate of an earlier response, and a refusal of an earlier request says nothing about this one.
     */
    private boolean isResponseToRequest(HttpClientResponse response) {
        return response.headers().getAll(headerNames.requestId()).equals(List.of(requestId));
    }

    private static boolean isRepeated(HttpClientResponse response, String name) {
        return response.headers().getAll(name).size() > 1;
    }

    private static boolean isSuccess(HttpClientResponse response) {
        return ResponseHeads.isFinal(response.statusCode()) && response.statusCode() < FIRST_REDIRECTION_STATUS;
    }
}
