package io.daisyhoist.core.config;

import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/** Parses TOML text. Stateless and thread-safe. */
final class TomlText {
    private static final TomlMapper MAPPER = new TomlMapper();

    private TomlText() {}

    /**
     * Parses one file.
     *
     * @throws InvalidConfigException with one fault that names the line, if the text is not TOML
     */
    static ObjectNode parse(String file, String content) {
        try {
            JsonNode node = MAPPER.readTree(content);
            return node instanceof ObjectNode table ? table : JsonNodeFactory.instance.objectNode();
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(List.of(new ConfigFault(file, "", describe(e))));
        }
    }

    private static String describe(JsonProcessingException e) {
        String where =
                e.getLocation() == null ? "" : " at line " + e.getLocation().getLineNr();
        String reason = e.getOriginalMessage();
        return "not valid TOML" + where
                + (reason == null ? "" : ": " + reason.lines().findFirst().orElse(""));
    }
}
