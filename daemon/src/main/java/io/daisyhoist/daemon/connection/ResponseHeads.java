package io.daisyhoist.daemon.connection;

import java.util.Map;
import java.util.regex.Pattern;

import io.vertx.core.http.HttpClientResponse;

/** Checks of the heads of HTTP responses. Stateless. */
public final class ResponseHeads {
    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d +\\d{3}");

    private ResponseHeads() {}

    /**
     * Returns whether a status line stands in the reason phrase or in a header field.
     *
     * <p>The head is then the beginning of one response that was cut off, followed by the head of another one: its status
     * does not belong to its other fields.
     */
    public static boolean containsStatusLine(HttpClientResponse response) {
        if (containsStatusLine(response.statusMessage())) {
            return true;
        }
        for (Map.Entry<String, String> field : response.headers()) {
            if (containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean containsStatusLine(String text) {
        return text != null
                && text.contains(PROTOCOL)
                && STATUS_LINE.matcher(text).find();
    }
}
