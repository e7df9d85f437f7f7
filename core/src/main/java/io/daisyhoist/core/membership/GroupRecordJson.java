package io.daisyhoist.core.membership;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/**
 * JSON encoding of the group record in the platform's store and in peer messages.
 *
 * <p>Unknown fields are ignored, so that a newer daemon may add fields during a rolling upgrade. Thread-safe.
 */
public final class GroupRecordJson {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private GroupRecordJson() {}

    /** Encodes a record as UTF-8 JSON. */
    public static byte[] write(GroupRecord record) {
        try {
            return MAPPER.writeValueAsBytes(record);
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "cannot encode the group record", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @throws DaisyhoistException with {@link ErrorCode#INTERNAL} when the bytes are not a valid group record
     */
    public static GroupRecord read(byte[] json) {
        try {
            return MAPPER.readValue(json, GroupRecord.class);
        } catch (IOException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "cannot decode the group record: " + e.getMessage(), e);
        }
    }
}
