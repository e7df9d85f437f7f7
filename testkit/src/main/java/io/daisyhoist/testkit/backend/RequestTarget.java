package io.daisyhoist.testkit.backend;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Service and key that a request path names. Immutable.
 *
 * @param service service
 * @param key key, empty without one
 */
public record RequestTarget(String service, String key) {
    private static final Pattern KEYED = Pattern.compile("/s/([^/]+)/k/([^/]+)(?:/.*)?");
    private static final Pattern KEYLESS = Pattern.compile("/s/([^/]+)(?:/.*)?");

    /** Reads a path such as {@code /s/archive/k/dish-7/history}; other paths belong to the given service. */
    public static RequestTarget of(String path, String ownService) {
        Matcher keyed = KEYED.matcher(path);
        if (keyed.matches()) {
            return new RequestTarget(keyed.group(1), decode(keyed.group(2)));
        }
        Matcher keyless = KEYLESS.matcher(path);
        return new RequestTarget(keyless.matches() ? keyless.group(1) : ownService, "");
    }

    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }
}
