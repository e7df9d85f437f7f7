package io.daisyhoist.core.config;

import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** Key paths of a TOML tree. Stateless. */
final class KeyPaths {
    private static final Pattern BARE = Pattern.compile("[A-Za-z0-9_-]+");

    private KeyPaths() {}

    static List<String> child(List<String> path, String key) {
        return Stream.concat(path.stream(), Stream.of(key)).toList();
    }

    /** Writes a path as in a TOML file, with quotes where a key needs them. */
    static String text(List<String> path) {
        return path.stream()
                .map(key -> BARE.matcher(key).matches() ? key : '"' + key + '"')
                .collect(Collectors.joining("."));
    }
}
