package io.daisyhoist.testkit.backend;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.CRC32;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * Response body that allows a client to verify completeness and origin. Immutable.
 *
 * @param service service named by the request
 * @param key key named by the request, empty without one
 * @param requestId request id of the client
 * @param incarnation incarnation of the backend server
 * @param sequence number of executions for the key in this incarnation
 * @param padding filler text
 */
public record ResponseBody(
        String service, String key, String requestId, long incarnation, long sequence, String padding) {
    /** Returns the body as JSON with a checksum. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("service", service)
                .put("key", key)
                .put("request_id", requestId)
                .put("incarnation", incarnation)
                .put("sequence", sequence)
                .put("padding", padding)
                .put("checksum", checksum());
    }

    /** Parses a body; empty if it is truncated, malformed or has a wrong checksum. */
    public static Optional<ResponseBody> parse(String text) {
        try {
            JsonObject json = new JsonObject(text);
            ResponseBody body = new ResponseBody(
                    json.getString("service", ""),
                    json.getString("key", ""),
                    json.getString("request_id", ""),
                    json.getLong("incarnation", 0L),
                    json.getLong("sequence", 0L),
                    json.getString("padding", ""));
            return Optional.of(body).filter(parsed -> parsed.checksum() == json.getLong("checksum", -1L));
        } catch (DecodeException | ClassCastException malformed) {
            return Optional.empty();
        }
    }

    private long checksum() {
        CRC32 crc = new CRC32();
        String content = String.join("|", service, key, requestId, incarnation + "", sequence + "", padding);
        crc.update(content.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
