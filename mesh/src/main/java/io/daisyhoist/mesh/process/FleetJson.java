package io.daisyhoist.mesh.process;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;
import io.daisyhoist.mesh.store.Decoded;

/** JSON format of the items that daemons write to the store. Stateless. */
final class FleetJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT)
            .disable(MapperFeature.ALLOW_COERCION_OF_SCALARS)
            .build();

    private FleetJson() {}

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(
                    ErrorCode.INTERNAL, "cannot serialize " + value.getClass().getSimpleName(), e);
        }
    }

    /** Decodes a value; every field has to be present, of the right type and valid. */
    static <T> Decoded<T> read(byte[] value, Class<T> type) {
        try {
            T decoded = MAPPER.readValue(value, type);
            return decoded == null ? Decoded.rejected("value is null") : Decoded.valid(decoded);
        } catch (IOException | RuntimeException e) {
            // Jackson passes on some exceptions of record constructors without wrapping them.
            return Decoded.rejected(firstLine(e));
        }
    }

    private static String firstLine(Exception failure) {
        String message = String.valueOf(failure.getMessage());
        return message.lines().findFirst().orElse(message);
    }
}
