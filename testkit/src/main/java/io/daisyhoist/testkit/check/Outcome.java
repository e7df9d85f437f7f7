package io.daisyhoist.testkit.check;

import java.util.List;

import io.vertx.core.json.JsonObject;

/**
 * What the load client saw of one request. Immutable.
 *
 * @param id id of the request
 * @param method HTTP method
 * @param service service
 * @param key key, empty without one
 * @param token attempt token, empty without one
 * @param intendedMicros intended time of the first send in microseconds since 1970
 * @param endMicros time of the last answer in microseconds since 1970
 * @param sends its sends in order
 */
public record Outcome(
        String id,
        String method,
        String service,
        String key,
        String token,
        long intendedMicros,
        long endMicros,
        List<Send> sends) {
    /**
     * One send. Immutable.
     *
     * @param id id that the send carried
     * @param sentMicros time of the send in microseconds since 1970
     * @param kind ANSWERED, REFUSED, WRONG or NO_ANSWER
     * @param code refusal code, empty for an answer
     * @param run stated run state, empty without one
     */
    public record Send(String id, long sentMicros, String kind, String code, String run) {}

    /** Copies the list. */
    public Outcome {
        sends = List.copyOf(sends);
    }

    /** Returns whether the request may run more than once. */
    public boolean isRepeatable() {
        return method.equals("GET");
    }

    /** Returns whether the last send brought the whole response. */
    public boolean isAnswered() {
        return sends.get(sends.size() - 1).kind().equals("ANSWERED");
    }

    /** Reads a line of the load client's outcome file. */
    public static Outcome parse(String line) {
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
        return new Outcome(
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
