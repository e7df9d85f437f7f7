package io.daisyhoist.mesh.store;

import java.util.Objects;

/**
 * Result of decoding data that another process wrote. Implementations are immutable.
 *
 * @param <T> type of the decoded value
 */
public sealed interface Decoded<T> {
    /**
     * A complete and valid value.
     *
     * @param <T> type of the decoded value
     * @param value the value
     */
    record Valid<T>(T value) implements Decoded<T> {
        public Valid {
            Objects.requireNonNull(value, "value");
        }
    }

    /**
     * Data that must not be used.
     *
     * @param <T> type of the expected value
     * @param reason reason of the rejection, for logs
     */
    record Rejected<T>(String reason) implements Decoded<T> {}

    /** Creates the result for a valid value. */
    static <T> Decoded<T> valid(T value) {
        return new Valid<>(value);
    }

    /** Creates the result for rejected data. */
    static <T> Decoded<T> rejected(String reason) {
        return new Rejected<>(reason);
    }
}
