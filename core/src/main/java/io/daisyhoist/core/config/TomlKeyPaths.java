package io.daisyhoist.core.config;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Key paths of a TOML tree. Stateless. */
final class TomlKeyPaths {
    private static final Pattern BARE_KEY = Pattern.compile("[A-Za-z0-9_-]+");

    private TomlKeyPaths() {}

    static List<String> append(List<String> path, String key) {
        return Stream.concat(path.stream(), Stream.of(key)).toList();
    }

    /** Formats a path as a TOML dotted key, with quotes where a key needs them. */
    static String format(List<String> path) {
        return path.stream()
                .map(key -> BARE_KEY.matcher(key).matches() ? key : '"' + key + '"')
                .collect(Collectors.joining("."));
    }
}
