package io.daisyhoist.cli.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.daisyhoist.core.error.DaisyhoistException;
import io.daisyhoist.core.error.ErrorCode;

/** JSON mapping with snake-case names; ignores unknown fields, which newer daemons may add. Thread-safe. */
public final class Json {
    public static final ObjectMapper MAPPER = JsonMapper.builder()
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .addModule(new OptionalTextModule())
            .build();

    private Json() {}

    /** Creates an object whose first field is {@code result}. */
    public static ObjectNode resultObject(String result) {
        return JsonNodeFactory.instance.objectNode().put("result", result);
    }

    /** Serializes a value on one line. */
    public static String toText(JsonNode value) {
        try {
            return MAPPER.writeValueAsString(value);
        } catch (JsonProcessingException e) {
            throw new DaisyhoistException(ErrorCode.INTERNAL, "cannot write JSON", e);
        }
    }
}
