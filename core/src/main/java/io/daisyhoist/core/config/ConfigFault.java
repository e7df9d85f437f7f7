package io.daisyhoist.core.config;

/**
 * One fault in a configuration or settings file. Immutable.
 *
 * @param file name of the file that contains the fault
 * @param key dotted path of the key, empty when the fault concerns the whole file
 * @param reason what is wrong and what is expected
 */
public record ConfigFault(String file, String key, String reason) {
    private static final int MAX_KEY_LENGTH = 200;
    private static final int MAX_REASON_LENGTH = 500;

    /** Truncates keys and reasons, because they may quote long values of the file. */
    public ConfigFault {
        key = truncate(key, MAX_KEY_LENGTH);
        reason = truncate(reason, MAX_REASON_LENGTH);
    }

    private static String truncate(String text, int maxLength) {
        return text.length() <= maxLength ? text : text.substring(0, maxLength) + "...";
    }

    @Override
    public String toString() {
        return key.isEmpty() ? file + ": " + reason : file + ": " + key + ": " + reason;
    }
}
