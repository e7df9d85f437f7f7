package io.daisyhoist.daemon.connection;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;

/** Checks whether an HTTP response consists of parts of several ones. Stateless. */
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

    /**
     * Returns whether a body contains a status line that is followed by the id of the request.
     *
     * <p>The body then was cut off, and the response was begun once more.
     *
     * @param id id of the request, which the backend server repeats in its responses
     */
    public static boolean containsHead(Buffer body, String id) {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        int head = text.indexOf(PROTOCOL);
        if (head < 0) {
            return false;
        }
        Matcher statusLine = STATUS_LINE.matcher(text);
        return statusLine.find(head) && text.indexOf(id, statusLine.end()) >= 0;
    }

    private static boolean containsStatusLine(String text) {
        return text != null
                && text.contains(PROTOCOL)
                && STATUS_LINE.matcher(text).find();
    }
}
