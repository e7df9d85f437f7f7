package io.daisyhoist.daemon.request;

import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RunState;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;

/**
 * Response to a client. Immutable.
 *
 * @param status HTTP status
 * @param headers end-to-end headers
 * @param body response body, possibly empty
 * @param run whether the request ran
 * @param refusal the refusal, if the request was refused
 * @param attemptToken new attempt token for the client, if one was issued
 */
public record OutboundResponse(
        int status,
        List<HttpField> headers,
        Buffer body,
        RunState run,
        Optional<Refusal> refusal,
        Optional<String> attemptToken) {
    private static final HttpField JSON = new HttpField("Content-Type", "application/json");

    /** Copies {@code headers} defensively. */
    public OutboundResponse {
        headers = List.copyOf(headers);
    }

    /** Returns the response of a backend server that ran the request. */
    public static OutboundResponse ran(int status, List<HttpField> headers, Buffer body) {
        return new OutboundResponse(status, headers, body, RunState.RAN, Optional.empty(), Optional.empty());
    }

    /** Returns a refusal. */
    public static OutboundResponse refused(Refusal refusal) {
        return refused(refusal, Optional.empty());
    }

    /** Returns a refusal that carries an attempt token for the client's next send. */
    public static OutboundResponse refused(Refusal refusal, Optional<String> attemptToken) {
        JsonObject body = new JsonObject()
                .put("code", refusal.code().label())
                .put("run", refusal.runState().label())
                .put("message", refusal.message())
                .put("retry_after_ms", refusal.retryAfter().toMillis());
        return new OutboundResponse(
                refusal.code().httpStatus(),
                List.of(JSON),
                body.toBuffer(),
                refusal.runState(),
                Optional.of(refusal),
                attemptToken);
    }

    /**
     * Returns this response as the final one to a request of which other copies were sent earlier. A refusal must not
     * say "not run" if an earlier copy may have run.
     *
     * @param earlier combined run state of all earlier copies
     */
    OutboundResponse afterEarlierCopies(RunState earlier) {
        RunState combined = run.combineWithEarlierCopies(earlier);
        if (refusal.isEmpty() || combined == run) {
            return this;
        }
        Refusal last = refusal.get();
        return refused(new Refusal(last.code(), combined, last.message(), last.retryAfter()), attemptToken);
    }

    /** Returns the response to a request for an attempt token. */
    public static OutboundResponse token(String attemptToken) {
        return new OutboundResponse(
                200,
                List.of(JSON),
                new JsonObject().put("attempt_token", attemptToken).toBuffer(),
                RunState.NOT_RUN,
                Optional.empty(),
                Optional.of(attemptToken));
    }
}
