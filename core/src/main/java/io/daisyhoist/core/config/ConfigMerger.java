package io.daisyhoist.core.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Merges TOML files in name order into one tree. A later file overrides an earlier one by key path: tables are merged,
 * arrays and values are replaced.
 *
 * <p>A table never replaces a value and a value never replaces a table: a single wrong line could otherwise remove all
 * services.
 */
public final class ConfigMerger {
    private final ObjectNode root = JsonNodeFactory.instance.objectNode();
    private final Map<List<String>, String> fileByPath = new HashMap<>();
    private final List<ConfigFault> faults = new ArrayList<>();

    private ConfigMerger() {}

    /** Merges files; unreadable files are skipped and reported as faults. */
    public static MergedConfig merge(List<ConfigFile> files) {
        ConfigMerger merger = new ConfigMerger();
        files.stream().sorted(Comparator.comparing(ConfigFile::name)).forEach(merger::mergeFile);
        return new MergedConfig(merger.root, merger.fileByPath, merger.faults);
    }

    private void mergeFile(ConfigFile file) {
        try {
            mergeTable(root, TomlParser.parse(file.name(), file.content()), List.of(), file.name());
        } catch (InvalidConfigException e) {
            faults.addAll(e.faults());
        }
    }

    private void mergeTable(ObjectNode target, ObjectNode source, List<String> path, String file) {
        for (Map.Entry<String, JsonNode> entry : source.properties()) {
            List<String> childPath = TomlKeyPaths.append(path, entry.getKey());
            mergeEntry(target, entry.getKey(), entry.getValue(), childPath, file);
        }
    }

    private void mergeEntry(ObjectNode target, String key, JsonNode value, List<String> path, String file) {
        JsonNode existing = target.get(key);
        if (existing != null && existing.isObject() != value.isObject()) {
            faults.add(new ConfigFault(
                    file,
                    TomlKeyPaths.format(path),
                    (existing.isObject() ? "is a table in " : "is a value in ") + fileByPath.get(path)
                            + " and cannot be replaced by a " + (value.isObject() ? "table" : "value")));
            return;
        }
        fileByPath.put(path, file);
        if (value instanceof ObjectNode table) {
            ObjectNode merged = existing == null ? target.putObject(key) : (ObjectNode) existing;
            mergeTable(merged, table, path, file);
            return;
        }
        target.set(key, value);
    }
}
