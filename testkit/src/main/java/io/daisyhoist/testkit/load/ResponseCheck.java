package io.daisyhoist.testkit.load;

import java.util.Optional;

import io.daisyhoist.testkit.backend.ResponseBody;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Classifies a response. Stateless. */
final class ResponseCheck {
    private static final int OK = 200;

    private ResponseCheck() {}

    static SendResult classify(LoadRequest request, String sendId, HttpClientResponse response, Buffer body) {
        String run = header(response, "Daisyhoist-Run");
        String refusal = header(response, "Daisyhoist-Refusal");
        String token = header(response, "Daisyhoist-Attempt-Token");
        if (!refusal.isEmpty()) {
            return new SendResult(sendId, SendResult.Kind.REFUSED, refusal, run, token);
        }
        if (response.statusCode() != OK) {
            // A backend server's own error, passed on; the daemon did not refuse the request.
            return new SendResult(sendId, SendResult.Kind.REFUSED, "status-" + response.statusCode(), run, token);
        }
        boolean own = ResponseBody.parse(body.toString())
                .filter(parsed -> isOwn(request, parsed))
                .isPresent();
        if (!own) {
            return new SendResult(sendId, SendResult.Kind.WRONG, "not-own-response", run, token);
        }
        return new SendResult(sendId, SendResult.Kind.ANSWERED, "", run, token);
    }

    /** A recorded response may echo an earlier send of the same request, so only the request's part of the id counts. */
    private static boolean isOwn(LoadRequest request, ResponseBody body) {
        return body.service().equals(request.service())
                && body.key().equals(request.key())
                && body.requestId().startsWith(request.id() + ".");
    }

    private static String header(HttpClientResponse response, String name) {
        return Optional.ofNullable(response.getHeader(name)).orElse("");
    }
}
