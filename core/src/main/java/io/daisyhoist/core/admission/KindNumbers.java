package io.daisyhoist.core.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Numbers of kinds of request, by name and priority, below {@link KindShares#MAX_KINDS}. Further kinds share the last number.
 * Confined to one thread.
 */
public final class KindNumbers {
    private final Map<Kind, Integer> numberByKind = new HashMap<>();

    private record Kind(String name, int priority) {}

    /** Returns the number of a kind. */
    public int number(String name, int priority) {
        Kind kind = new Kind(name, priority);
        Integer known = numberByKind.get(kind);
        if (known != null) {
            return known;
        }
        int next = numberByKind.size();
        if (next >= KindShares.MAX_KINDS - 1) {
            return KindShares.MAX_KINDS - 1;
        }
        numberByKind.put(kind, next);
        return next;
    }
}
