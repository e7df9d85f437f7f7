package io.daisyhoist.core.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Reads typed values from one table of a TOML tree and collects all faults instead of stopping at the first.
 *
 * <p>A method that finds a fault records it and returns the default, so that reading can continue; the caller must
 * discard the result when faults were recorded. {@link #reportUnknownKeys()} reports the keys that were never read. Not
 * thread-safe.
 */
public final class SettingsReader {
    private final ObjectNode table;
    private final List<String> path;
    private final Function<List<String>, String> fileOf;
    private final List<ConfigFault> faults;
    private final Set<String> readKeys = new LinkedHashSet<>();

    SettingsReader(
            ObjectNode table, List<String> path, Function<List<String>, String> fileOf, List<ConfigFault> faults) {
        this.table = table;
        this.path = path;
        this.fileOf = fileOf;
        this.faults = faults;
    }

    /**
     * Reads the root table of a single file.
     *
     * @param faults receives the faults; after a syntax error the table is empty
     */
    public static SettingsReader ofFile(String file, String content, List<ConfigFault> faults) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        try {
            root = TomlParser.parse(file, content);
        } catch (InvalidConfigException e) {
            faults.addAll(e.faults());
        }
        return new SettingsReader(root, List.of(), unused -> file, faults);
    }

    /** Reads a sub-table; an absent table reads as empty. */
    public SettingsReader table(String key) {
        JsonNode node = readNode(key).orElse(JsonNodeFactory.instance.objectNode());
        if (!node.isObject()) {
            addFault(key, "must be a table");
        }
        ObjectNode child = node instanceof ObjectNode object ? object : JsonNodeFactory.instance.objectNode();
        return new SettingsReader(child, TomlKeyPaths.append(path, key), fileOf, faults);
    }

    /** Reads a table of tables, sorted by name; entries that are not tables are faults. */
    public Map<String, SettingsReader> tables(String key) {
        SettingsReader parent = table(key);
        Map<String, SettingsReader> children = new TreeMap<>();
        parent.table.fieldNames().forEachRemaining(name -> children.put(name, parent.table(name)));
        return children;
    }

    /** Reads a string. */
    public Optional<String> text(String key) {
        Optional<JsonNode> node = readNode(key);
        if (node.isPresent() && !node.get().isTextual()) {
            addFault(key, "must be a string");
            return Optional.empty();
        }
        return node.map(JsonNode::textValue);
    }

    /** Reads a string that must be present and satisfy a rule. */
    public String requiredText(String key, Predicate<String> rule, String expected) {
        if (!table.has(key)) {
            readKeys.add(key);
            addFault(key, "is required: " + expected);
            return "";
        }
        Optional<String> value = text(key);
        value.filter(rule.negate()).ifPresent(text -> addFault(key, "must be " + expected + ", not \"" + text + "\""));
        return value.orElse("");
    }

    /** Reads an integer within inclusive bounds. */
    public long number(String key, long defaultValue, long min, long max) {
        Optional<JsonNode> node = readNode(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        boolean valid = node.get().isIntegralNumber() && node.get().canConvertToLong();
        long value = valid ? node.get().longValue() : defaultValue;
        if (!valid || value < min || value > max) {
            addFault(key, "must be a whole number from " + min + " to " + max + ", not " + abbreviate(node.get()));
            return defaultValue;
        }
        return value;
    }

    /** Reads an integer that must be present. */
    public long requiredNumber(String key, long min, long max) {
        if (!table.has(key)) {
            addFault(key, "is required: a whole number from " + min + " to " + max);
        }
        return number(key, min, min, max);
    }

    /** Reads a boolean. */
    public boolean flag(String key, boolean defaultValue) {
        Optional<JsonNode> node = readNode(key);
        if (node.isPresent() && !node.get().isBoolean()) {
            addFault(key, "must be true or false");
            return defaultValue;
        }
        return node.map(JsonNode::booleanValue).orElse(defaultValue);
    }

    /** Reads a boolean that must be present. */
    public boolean requiredFlag(String key, String meaning) {
        if (!table.has(key)) {
            addFault(key, "is required: " + meaning);
        }
        return flag(key, false);
    }

    /** Reads a list of strings. */
    public List<String> texts(String key, List<String> defaultValue, Predicate<String> rule, String expected) {
        Optional<JsonNode> node = readNode(key);
        if (node.isEmpty()) {
            return defaultValue;
        }
        List<String> values = new ArrayList<>();
        boolean valid = node.get().isArray();
        for (JsonNode element : node.get()) {
            valid &= element.isTextual() && rule.test(element.textValue());
            values.add(element.asText());
        }
        if (!valid) {
            addFault(key, "must be a list of " + expected);
            return defaultValue;
        }
        return values;
    }

    /** Records a fault of a key in this table. */
    public void addFault(String key, String reason) {
        List<String> keyPath = TomlKeyPaths.append(path, key);
        faults.add(new ConfigFault(fileOf.apply(keyPath), TomlKeyPaths.format(keyPath), reason));
    }

    /** Records a fault of this table itself. */
    public void addFault(String reason) {
        faults.add(new ConfigFault(fileOf.apply(path), TomlKeyPaths.format(path), reason));
    }

    /** Records the keys of this table that were never read as faults. */
    public void reportUnknownKeys() {
        table.fieldNames().forEachRemaining(key -> {
            if (!readKeys.contains(key)) {
                addFault(key, "is not known here; known keys: " + String.join(", ", readKeys));
            }
        });
    }

    private Optional<JsonNode> readNode(String key) {
        readKeys.add(key);
        return Optional.ofNullable(table.get(key));
    }

    private static String abbreviate(JsonNode node) {
        String text = node.toString();
        return text.length() <= 40 ? text : text.substring(0, 40) + "...";
    }
}
