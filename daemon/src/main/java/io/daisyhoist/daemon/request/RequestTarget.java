package io.daisyhoist.daemon.request;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.daisyhoist.core.error.RefusalCode;
import io.daisyhoist.core.model.Names;
import io.daisyhoist.core.model.ServiceName;

/**
 * Service and key in the path of a request. Immutable.
 *
 * @param service the service
 * @param key the decoded key, if the path has one
 */
record RequestTarget(ServiceName service, Optional<String> key) {
    static final int MAX_KEY_BYTES = 512;

    private static final Pattern KEYED = Pattern.compile("/s/([^/]+)/k/([^/]+)(?:/.*)?");
    private static final Pattern KEYLESS = Pattern.compile("/s/([^/]+)(?:/.*)?");

    /**
     * Parses the path of a request, without its query.
     *
     * @throws RefusedException if the path, the service or the key is invalid
     */
    static RequestTarget parse(String path) {
        refuseDotSegments(path);
        Matcher keyed = KEYED.matcher(path);
        if (keyed.matches()) {
            return new RequestTarget(service(keyed.group(1)), Optional.of(key(decode(keyed.group(2)))));
        }
        Matcher keyless = KEYLESS.matcher(path);
        if (keyless.matches()) {
            return new RequestTarget(service(keyless.group(1)), Optional.empty());
        }
        throw new RefusedException(RefusalCode.BAD_REQUEST, "expected /s/{service}/k/{key}/... or /s/{service}/...");
    }

    /** Validates a decoded key and returns it. */
    static String key(String decoded) {
        boolean printable = decoded.chars().noneMatch(Character::isISOControl);
        int length = decoded.getBytes(StandardCharsets.UTF_8).length;
        if (length < 1 || length > MAX_KEY_BYTES || !printable || decoded.indexOf('\uFFFD') >= 0) {
            throw new RefusedException(
                    RefusalCode.BAD_REQUEST,
                    "a key is 1 to " + MAX_KEY_BYTES + " bytes of UTF-8 without control characters");
        }
        return decoded;
    }

    private static ServiceName service(String name) {
        if (!Names.isValid(name)) {
            throw new RefusedException(RefusalCode.BAD_REQUEST, "invalid service name");
        }
        return new ServiceName(name);
    }

    /**
     * Dot segments are refused: a backend server that resolves them would see a key whose ownership was not checked.
     */
    private static void refuseDotSegments(String path) {
        for (String segment : List.of(path.split("/", -1))) {
            String normalized = segment.replace("%2e", ".").replace("%2E", ".");
            if (normalized.equals(".") || normalized.equals("..")) {
                throw new RefusedException(RefusalCode.BAD_REQUEST, "dot segments are not allowed in a path");
            }
        }
    }

    private static String decode(String text) {
        try {
            return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new RefusedException(RefusalCode.BAD_REQUEST, "invalid percent-encoding in the key");
        }
    }
}
