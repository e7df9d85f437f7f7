package io.daisyhoist.daemon.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/**
 * Requests that wait for the next group record while their partition is being handed over.
 *
 * <p>Bounded, because a hand-over may last as long as the slowest request in flight. Confined to the traffic event loop.
 */
final class HeldRequests {
    private static final int MAX_HELD = 512;

    private final Queue<Runnable> held = new ArrayDeque<>();

    /** Holds a request; false when there is no room. */
    boolean offer(Runnable retry) {
        return held.size() < MAX_HELD && held.offer(retry);
    }

    boolean isEmpty() {
        return held.isEmpty();
    }

    /** Lets all requests try again; those that still have to wait come back. */
    void resumeAll() {
        List<Runnable> all = new ArrayList<>(held);
        held.clear();
        all.forEach(Runnable::run);
    }
}
