package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.daemon.connection.DaisyhoistHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.daisyhoist.daemon.connection.ResponseHeads;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/** Writes responses to clients. Stateless. */
final class ResponseWriter {
    private ResponseWriter() {}

    /**
     * Writes a response, unless the client has disconnected or a response was already written. A response whose status is not
     * final is replaced by a refusal.
     */
    static void write(HttpServerResponse http, OutboundResponse response) {
        if (http.ended() || http.closed()) {
            return;
        }
        if (!ResponseHeads.isFinal(response.status())) {
            writeFinal(
                    http, Refusals.unknown(RefusalCode.BACKEND_LOST, "status " + response.status() + " is not final"));
            return;
        }
        writeFinal(http, response);
    }

    private static void writeFinal(HttpServerResponse http, OutboundResponse response) {
        http.setStatusCode(response.status());
        for (HttpField field : response.headers()) {
            http.headers().add(field.name(), field.value());
        }
        http.putHeader(DaisyhoistHeaders.RUN, response.run().label());
        response.refusal().ifPresent(refusal -> putRefusal(http, refusal));
        response.attemptToken().ifPresent(token -> http.putHeader(DaisyhoistHeaders.ATTEMPT_TOKEN, token));
        http.end(response.body());
    }

    /** Writes a refusal and closes the connection, because the remainder of the request is not read. */
    static void writeAndClose(HttpServerResponse http, Refusal refusal) {
        http.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        write(http, OutboundResponse.refused(refusal));
    }

    private static void putRefusal(HttpServerResponse http, Refusal refusal) {
        http.putHeader(DaisyhoistHeaders.REFUSAL, refusal.code().label());
        Duration retryAfter = refusal.retryAfter();
        if (!retryAfter.isZero()) {
            // Retry-After is in whole seconds; it is rounded up so that the client doesn't retry too early.
            http.putHeader(
                    "Retry-After", Long.toString(retryAfter.plusMillis(999).toSeconds()));
        }
    }
}
