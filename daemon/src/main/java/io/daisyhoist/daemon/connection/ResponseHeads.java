package io.daisyhoist.daemon.connection;

import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpHeaders;

/** Checks whether an HTTP response consists of parts of several ones. Stateless. */
public final class ResponseHeads {
    private static final String PROTOCOL = "HTTP/";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d +\\d{3}");
    private static final Pattern STATUS_LINE_WITH_END = Pattern.compile(STATUS_LINE.pattern() + "[^\\r\\n]*\\r\\n");

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
     * Returns whether a body contains the head of another response to the same request.
     *
     * <p>The body was then cut off, and the response was begun once more. In a body whose end is known, the head counts only
     * if the id of the request follows it, so that bodies about HTTP are sound. A body that ends with its connection takes in
     * whatever follows it, also a head that is cut off before its id.
     *
     * @param id id of the request, which the backend server repeats in its responses
     */
    public static boolean containsHead(HttpClientResponse response, Buffer body, String id) {
        String text = body.toString(StandardCharsets.ISO_8859_1);
        int start = text.indexOf(PROTOCOL);
        if (start < 0) {
            return false;
        }
        if (!isFramed(response)) {
            return STATUS_LINE_WITH_END.matcher(text).find(start);
        }
        Matcher statusLine = STATUS_LINE.matcher(text);
        return statusLine.find(start) && text.indexOf(id, statusLine.end()) >= 0;
    }

    private static boolean isFramed(HttpClientResponse response) {
        return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
                || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    }

    private static boolean containsStatusLine(String text) {
        return text != null
                && text.contains(PROTOCOL)
                && STATUS_LINE.matcher(text).find();
    }
}
