package io.daisyhoist.mesh.process;

import java.io.IOException;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.flogger.FluentLogger;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** JSON format of the items that daemons write to the store. Stateless. */
final class FleetJson {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper()
            .registerModule(new Jdk8Module())
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private FleetJson() {}

    static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(
                    ErrorCode.INTERNAL, "cannot serialize " + value.getClass().getSimpleName(), e);
        }
    }

    /** Parses an item; returns empty and logs a warning if it is invalid. */
    static <T> Optional<T> read(String key, byte[] value, Class<T> type) {
        try {
            return Optional.of(MAPPER.readValue(value, type));
        } catch (IOException | IllegalArgumentException e) {
            LOGGER.atWarning().log("event=store_item_unreadable key=%s reason=\"%s\"", key, e.getMessage());
            return Optional.empty();
        }
    }
}
