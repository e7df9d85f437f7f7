package io.daisyhoist.core.atmostonce;

import java.util.List;

/**
 * Response of a finished attempt, kept to answer resends. The body must not be modified.
 *
 * @param status HTTP status
 * @param headers response headers in order
 * @param body response body
 */
public record RecordedResponse(int status, List<Field> headers, byte[] body) {
    private static final int FIELD_OVERHEAD_BYTES = 64;

    /** Copies the header list. */
    public RecordedResponse {
        headers = List.copyOf(headers);
    }

    /** Returns the approximate memory size. */
    long sizeBytes() {
        return body.length
                + headers.stream()
                        .mapToLong(field -> FIELD_OVERHEAD_BYTES
                                + field.name().length()
                                + field.value().length())
                        .sum();
    }

    /**
     * One response header.
     *
     * @param name header name
     * @param value header value
     */
    public record Field(String name, String value) {}
}
