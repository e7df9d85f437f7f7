package io.daisyhoist.core.config;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

/** Parses TOML text. Stateless and thread-safe. */
final class TomlParser {
    private static final TomlMapper MAPPER = new TomlMapper();

    /** Exceeds the nesting of any setting. */
    private static final int MAX_DEPTH = 16;

    /** Bounds dotted keys, which cannot span lines: one of 1 MB took the parser 14 s and more than 256 MB. */
    private static final int MAX_LINE_LENGTH = 8_192;

    private TomlParser() {}

    /**
     * Parses one file.
     *
     * @throws InvalidConfigException with one fault that names the line, if the text is not valid TOML
     */
    static ObjectNode parse(String file, String content) {
        if (content.lines().anyMatch(line -> line.length() > MAX_LINE_LENGTH)) {
            String reason = "a line is longer than " + MAX_LINE_LENGTH + " characters";
            throw new InvalidConfigException(List.of(new ConfigFault(file, "", reason)));
        }
        try {
            JsonNode node = MAPPER.readTree(content);
            requireMaxDepth(file, node);
            return node instanceof ObjectNode table ? table : JsonNodeFactory.instance.objectNode();
        } catch (JsonProcessingException e) {
            throw new InvalidConfigException(List.of(new ConfigFault(file, "", reasonOf(e))));
        }
    }

    /** Limits the depth: the parser bounds brackets but not dotted keys, and thousands of levels overflow the stack. */
    private static void requireMaxDepth(String file, JsonNode root) {
        List<JsonNode> level = List.of(root);
        for (int depth = 0; !level.isEmpty(); depth++) {
            if (depth > MAX_DEPTH) {
                String reason = "tables and arrays nest deeper than " + MAX_DEPTH + " levels";
                throw new InvalidConfigException(List.of(new ConfigFault(file, "", reason)));
            }
            List<JsonNode> next = new ArrayList<>();
            level.forEach(node -> node.forEach(next::add));
            level = next;
        }
    }

    private static String reasonOf(JsonProcessingException e) {
        String where =
                e.getLocation() == null ? "" : " at line " + e.getLocation().getLineNr();
        String reason = e.getOriginalMessage();
        return "not valid TOML" + where
                + (reason == null ? "" : ": " + reason.lines().findFirst().orElse(""));
    }
}
