package io.daisyhoist.testkit.backend;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Service and key in a request path. Immutable.
 *
 * @param service service
 * @param key key, empty without one
 */
public record RequestTarget(String service, String key) {
    private static final Pattern KEYED = Pattern.compile("/s/([^/]+)/k/([^/]+)(?:/.*)?");
    private static final Pattern KEYLESS = Pattern.compile("/s/([^/]+)(?:/.*)?");

    /** Parses a path such as {@code /s/archive/k/dish-7/history}; other paths belong to the default service. */
    public static RequestTarget parse(String path, String defaultService) {
        Matcher keyed = KEYED.matcher(path);
        if (keyed.matches()) {
            return new RequestTarget(keyed.group(1), decode(keyed.group(2)));
        }
        Matcher keyless = KEYLESS.matcher(path);
        return new RequestTarget(keyless.matches() ? keyless.group(1) : defaultService, "");
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
