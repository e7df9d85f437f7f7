package io.daisyhoist.core.config;

/**
 * One fault in a configuration or settings file. Immutable.
 *
 * @param file name of the file that holds the fault
 * @param key dotted path of the key, empty when the fault concerns the whole file
 * @param reason what is wrong and what is expected
 */
public record ConfigFault(String file, String key, String reason) {
    @Override
    public String toString() {
        return key.isEmpty() ? file + ": " + reason : file + ": " + key + ": " + reason;
    }
}
