package io.daisyhoist.testkit.load;

import java.util.Optional;

import io.daisyhoist.testkit.backend.ResponseBody;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Classifies the response to one send. Stateless. */
final class ResponseClassifier {
    private static final int OK = 200;

    private ResponseClassifier() {}

    static SendResult classify(LoadRequest request, String sendId, HttpClientResponse response, Buffer body) {
        String runState = header(response, "Daisyhoist-Run");
        String refusal = header(response, "Daisyhoist-Refusal");
        String token = header(response, "Daisyhoist-Attempt-Token");
        if (!refusal.isEmpty()) {
            return new SendResult(sendId, SendResult.Kind.REFUSED, refusal, runState, token);
        }
        if (response.statusCode() != OK) {
            // An error of the backend server, forwarded by the daemon; not a refusal by the daemon.
            return new SendResult(sendId, SendResult.Kind.REFUSED, "status-" + response.statusCode(), runState, token);
        }
        boolean matches = ResponseBody.parse(body.toString())
                .filter(parsed -> matchesRequest(request, parsed))
                .isPresent();
        if (!matches) {
            return new SendResult(sendId, SendResult.Kind.WRONG, "not-own-response", runState, token);
        }
        return new SendResult(sendId, SendResult.Kind.ANSWERED, "", runState, token);
    }

    /** A recorded response may carry the id of an earlier send of the request, so only the request id is compared. */
    private static boolean matchesRequest(LoadRequest request, ResponseBody body) {
        return body.service().equals(request.service())
                && body.key().equals(request.key())
                && body.requestId().startsWith(request.id() + ".");
    }

    private static String header(HttpClientResponse response, String name) {
        return Optional.ofNullable(response.getHeader(name)).orElse("");
    }
}
