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
    private static final byte[] PROTOCOL_BYTES = PROTOCOL.getBytes(StandardCharsets.US_ASCII);

    /** The spaces are those that the HTTP decoder accepts between the parts of a status line. */
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d[ \\t\\x0b\\f\\r]+\\d{3}");

    /** The length of the reason phrase is bounded, so that a search takes time in proportion to the text. */
    private static final Pattern STATUS_LINE_WITH_END =
            Pattern.compile(STATUS_LINE.pattern() + "[^\\r\\n]{0,256}\\r\\n");

    private static final int FIRST_STATUS = 100;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    private ResponseHeads() {}

    /** Returns whether a number is the status of a response that no other one to the same request follows. */
    public static boolean isFinal(int status) {
        return FIRST_FINAL_STATUS <= status && status <= LAST_STATUS;
    }

    /** Returns whether a number is the status of a response that another one to the same request follows. */
    public static boolean isInterim(int status) {
        return FIRST_STATUS <= status && status < FIRST_FINAL_STATUS;
    }

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

    /** Returns whether a status line stands in a body. Sound bodies about HTTP contain one as well. */
    public static boolean containsStatusLine(Buffer body) {
        int start = indexOfProtocol(body);
        return start >= 0 && STATUS_LINE.matcher(text(body)).find(start);
    }

    /**
     * Returns whether a body contains the head of another response.
     *
     * <p>The body was then cut off, and another response was written behind it. In a body whose end is known, a head is a
     * status line that is followed by the header field of a request's id, so that bodies about HTTP are sound. A body that
     * ends with its connection takes in whatever follows it, and a whole status line is enough.
     *
     * @param idName name of the header field that contains the id of a request
     */
    public static boolean containsHead(HttpClientResponse response, Buffer body, String idName) {
        int start = indexOfProtocol(body);
        if (start < 0) {
            return false;
        }
        String text = text(body);
        if (!isFramed(response)) {
            return STATUS_LINE_WITH_END.matcher(text).find(start);
        }
        Matcher statusLine = STATUS_LINE.matcher(text);
        Pattern idField = Pattern.compile("\\r\\n" + Pattern.quote(idName) + ":", Pattern.CASE_INSENSITIVE);
        return statusLine.find(start) && idField.matcher(text).find(statusLine.end());
    }

    private static boolean isFramed(HttpClientResponse response) {
        return response.getHeader(HttpHeaders.CONTENT_LENGTH) != null
                || response.getHeader(HttpHeaders.TRANSFER_ENCODING) != null;
    }

    private static String text(Buffer body) {
        return body.toString(StandardCharsets.ISO_8859_1);
    }

    /** Avoids a copy of bodies that are not about HTTP. */
    private static int indexOfProtocol(Buffer body) {
        for (int i = 0; i <= body.length() - PROTOCOL_BYTES.length; i++) {
            if (startsWithProtocol(body, i)) {
                return i;
            }
        }
        return -1;
    }

    private static boolean startsWithProtocol(Buffer body, int start) {
        for (int i = 0; i < PROTOCOL_BYTES.length; i++) {
            if (body.getByte(start + i) != PROTOCOL_BYTES[i]) {
                return false;
            }
        }
        return true;
    }
}
