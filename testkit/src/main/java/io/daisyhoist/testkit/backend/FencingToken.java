package io.daisyhoist.testkit.backend;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Fencing token in the {@code Daisyhoist-Fence} header. Immutable.
 *
 * @param service service
 * @param partition partition number
 * @param epoch number of the ownership grant
 */
public record FencingToken(String service, int partition, long epoch) {
    /** Name of the request header. */
    public static final String HEADER = "Daisyhoist-Fence";

    private static final Pattern FORMAT = Pattern.compile("([^/]+)/([0-9]{1,9}):([0-9]{1,18})");

    /** Parses a header value; empty if it is absent or malformed. */
    public static Optional<FencingToken> parse(String header) {
        if (header == null) {
            return Optional.empty();
        }
        Matcher matcher = FORMAT.matcher(header);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new FencingToken(
                matcher.group(1), Integer.parseInt(matcher.group(2)), Long.parseLong(matcher.group(3))));
    }
}
