package io.daisyhoist.testkit.check;

import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * Outcome of one request as observed by the load client. Immutable.
 *
 * @param id id of the request
 * @param method HTTP method
 * @param service service
 * @param key key, empty without one
 * @param token attempt token, empty without one
 * @param intendedMicros intended time of the first send in microseconds since 1970
 * @param endMicros time of the last response in microseconds since 1970
 * @param sends its sends in order
 */
public record RequestOutcome(
        String id,
        String method,
        String service,
        String key,
        String token,
        long intendedMicros,
        long endMicros,
        List<Send> sends) {
    /**
     * One send of the request. Immutable.
     *
     * @param id id that the send carried
     * @param sentMicros time of the send in microseconds since 1970
     * @param kind ANSWERED, REFUSED, WRONG or NO_ANSWER
     * @param code refusal code or failure reason, empty for a complete response
     * @param run run state stated by the response, empty without one
     */
    public record Send(String id, long sentMicros, String kind, String code, String run) {}

    /** Copies the list. */
    public RequestOutcome {
        sends = List.copyOf(sends);
    }

    /** Returns whether the request may be executed more than once. */
    public boolean isIdempotent() {
        return method.equals("GET");
    }

    /** Returns whether the last send received the complete response. */
    public boolean isAnswered() {
        return sends.get(sends.size() - 1).kind().equals("ANSWERED");
    }

    /** Parses a line of the load client's outcome file. */
    public static RequestOutcome parse(String line) {
        JsonObject json = new JsonObject(line);
        List<Send> sends = json.getJsonArray("sends").stream()
                .map(JsonObject.class::cast)
                .map(send -> new Send(
                        send.getString("id"),
                        send.getLong("sent_us"),
                        send.getString("kind"),
                        send.getString("code"),
                        send.getString("run")))
                .toList();
        return new RequestOutcome(
                json.getString("id"),
                json.getString("method"),
                json.getString("service"),
                json.getString("key"),
                json.getString("token"),
                json.getLong("intended_us"),
                json.getLong("end_us"),
                sends);
    }
}
