package io.daisyhoist.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Requests that are held and retried periodically while their partition is being handed over.
 *
 * <p>Bounded, because a hand-over may last as long as the slowest request in flight. Confined to the traffic event
 * loop.
 */
final class HeldRequests {
    private static final int MAX_HELD_REQUESTS = 512;

    private final Queue<Runnable> held = new ArrayDeque<>();

    /** Holds a request; returns {@code false} if the limit is reached. */
    boolean offer(Runnable retry) {
        return held.size() < MAX_HELD_REQUESTS && held.offer(retry);
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    /** Retries all held requests; those that must still wait are added again. */
    void retryAll() {
        List<Runnable> requests = new ArrayList<>(held);
        held.clear();
        requests.forEach(Runnable::run);
    }
}
