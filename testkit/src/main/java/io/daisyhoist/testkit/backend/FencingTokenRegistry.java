package io.daisyhoist.testkit.backend;

import java.util.HashMap;
import java.util.Map;

/** Highest epoch seen for each partition. Kept in memory only, so lost in a crash. Confined to one event loop. */
final class FencingTokenRegistry {
    private final Map<String, Long> highestEpochs = new HashMap<>();

    /** Records the epoch; returns false if a higher one has been seen for the partition. */
    boolean accept(FencingToken token) {
        String partition = token.service() + "/" + token.partition();
        return highestEpochs.merge(partition, token.epoch(), Math::max) == token.epoch();
    }

    void clear() {
        highestEpochs.clear();
    }
}
