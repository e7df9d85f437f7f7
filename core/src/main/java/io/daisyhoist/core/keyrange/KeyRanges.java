package io.daisyhoist.core.keyrange;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Set operations on key ranges. Stateless. */
public final class KeyRanges {
    private KeyRanges() {}

    /** Returns the difference of two ranges, as at most two ranges. */
    public static List<KeyRange> subtract(KeyRange range, KeyRange removed) {
        if (!range.overlaps(removed)) {
            return List.of(range);
        }
        List<KeyRange> parts = new ArrayList<>(2);
        if (range.from() < removed.from()) {
            parts.add(new KeyRange(range.from(), removed.from() - 1));
        }
        if (removed.to() < range.to()) {
            parts.add(new KeyRange(removed.to() + 1, range.to()));
        }
        return parts;
    }

    /** Returns the intersection of two ranges; empty if they do not overlap. */
    public static Optional<KeyRange> intersect(KeyRange one, KeyRange other) {
        return one.overlaps(other)
                ? Optional.of(new KeyRange(Math.max(one.from(), other.from()), Math.min(one.to(), other.to())))
                : Optional.empty();
    }
}
