package io.daisyhoist.daemon.request;

import java.time.Duration;

import io.daisyhoist.core.error.Refusal;
import io.daisyhoist.daemon.connection.DaisyhoistHeaders;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;

/** Writes answers to clients. Stateless. */
final class ResponseWriter {
    private ResponseWriter() {}

    /** Writes an answer, unless the client has gone or was answered. */
    static void write(HttpServerResponse http, OutboundResponse answer) {
        if (http.ended() || http.closed()) {
            return;
        }
        http.setStatusCode(answer.status());
        for (HttpField field : answer.headers()) {
            http.headers().add(field.name(), field.value());
        }
        http.putHeader(DaisyhoistHeaders.RUN, answer.run().label());
        answer.refusal().ifPresent(refusal -> putRefusal(http, refusal));
        answer.attemptToken().ifPresent(token -> http.putHeader(DaisyhoistHeaders.ATTEMPT_TOKEN, token));
        http.end(answer.body());
    }

    /** Writes a refusal and closes the connection, because the rest of the request is not read. */
    static void writeAndClose(HttpServerResponse http, Refusal refusal) {
        http.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        write(http, OutboundResponse.refused(refusal));
    }

    private static void putRefusal(HttpServerResponse http, Refusal refusal) {
        http.putHeader(DaisyhoistHeaders.REFUSAL, refusal.code().label());
        Duration wait = refusal.retryAfter();
        if (!wait.isZero()) {
            // The field counts whole seconds, rounded up so that the client does not return too early.
            http.putHeader("Retry-After", Long.toString(wait.plusMillis(999).toSeconds()));
        }
    }
}
