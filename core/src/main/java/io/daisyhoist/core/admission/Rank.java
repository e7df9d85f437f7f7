package io.daisyhoist.core.admission;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Priority class of a request; earlier constants are admitted first and shed last. */
public enum Rank {
    INTERNAL,
    NORMAL,
    BROWSE;

    /** Returns the value of the {@code Daisyhoist-Rank} header. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds the rank with the given header value. */
    public static Optional<Rank> fromLabel(String label) {
        return Arrays.stream(values())
                .filter(rank -> rank.label().equals(label))
                .findFirst();
    }

    /** Returns whether this rank is higher than another. */
    public boolean isAbove(Rank other) {
        return compareTo(other) < 0;
    }
}
