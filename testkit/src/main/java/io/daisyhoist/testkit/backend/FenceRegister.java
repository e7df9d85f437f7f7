package io.daisyhoist.testkit.backend;

import java.util.HashMap;
import java.util.Map;

/** Highest epoch seen for each partition. Lost in a crash, as the server keeps no disk. Confined to one event loop. */
final class FenceRegister {
    private final Map<String, Long> highest = new HashMap<>();

    /** Records the epoch; returns false if a higher one has been seen. */
    boolean admits(FenceToken token) {
        String partition = token.service() + "/" + token.partition();
        return highest.merge(partition, token.epoch(), Math::max) == token.epoch();
    }

    void clear() {
        highest.clear();
    }
}
