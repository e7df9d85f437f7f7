package io.daisyhoist.core.keyrange;

/**
 * Contiguous range of keys, both bounds inclusive. Immutable.
 *
 * @param from first key, 0 to {@link #MAX_KEY}
 * @param to last key, not below the first
 */
public record KeyRange(int from, int to) {
    public static final int MAX_KEY = 65_535;

    public static final KeyRange ALL = new KeyRange(0, MAX_KEY);

    /** Validates the bounds. */
    public KeyRange {
        requireValid(from, to);
    }

    /**
     * Checks bounds without creating a range.
     *
     * @throws IllegalArgumentException if a bound is out of range or the range is empty
     */
    public static void requireValid(int from, int to) {
        if (from < 0 || to > MAX_KEY || from > to) {
            throw new IllegalArgumentException("invalid key range " + from + "-" + to);
        }
    }

    /** Returns whether the range contains a key. */
    public boolean contains(int key) {
        return from <= key && key <= to;
    }

    /** Returns whether the range contains another range. */
    public boolean contains(KeyRange other) {
        return from <= other.from && other.to <= to;
    }

    /** Returns whether the ranges have a key in common. */
    public boolean overlaps(KeyRange other) {
        return from <= other.to && other.from <= to;
    }

    /** Returns the number of keys. */
    public int size() {
        return to - from + 1;
    }

    @Override
    public String toString() {
        return from + "-" + to;
    }
}
