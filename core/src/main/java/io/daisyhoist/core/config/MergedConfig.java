package io.daisyhoist.core.config;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Result of merging the configuration files, before validation.
 *
 * @param root the merged tree; callers must not modify it
 * @param fileByPath file that last set the value at a key path
 * @param faults files that could not be read or merged
 */
public record MergedConfig(ObjectNode root, Map<List<String>, String> fileByPath, List<ConfigFault> faults) {
    /** Copies the map and the list. */
    public MergedConfig {
        fileByPath = Map.copyOf(fileByPath);
        faults = List.copyOf(faults);
    }
}
