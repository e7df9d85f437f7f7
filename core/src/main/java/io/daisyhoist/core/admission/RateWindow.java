package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;

import io.daisyhoist.core.time.TimeSource;

/**
 * Counts events in a sliding window and bounds them.
 *
 * <p>Invariant: no span of the window's length contains more events than the limit in force at its last event. Confined
 * to one thread.
 */
public final class RateWindow {
    private final TimeSource time;
    private final long windowNanos;
    private final ArrayDeque<Long> events = new ArrayDeque<>();

    /** Creates an empty window of the given length. */
    public RateWindow(TimeSource time, Duration window) {
        this.time = time;
        this.windowNanos = window.toNanos();
    }

    /** Counts an event whether or not it exceeds a limit. */
    public void record() {
        events.addLast(time.monotonicNanos());
        dropOld();
    }

    /** Counts an event if fewer than {@code limit} lie in the window; false otherwise. */
    public boolean tryRecord(double limit) {
        if (count() + 1 > limit) {
            return false;
        }
        record();
        return true;
    }

    /** Returns the events in the window. */
    public int count() {
        dropOld();
        return events.size();
    }

    /** Returns the time until the oldest event leaves the window; zero when it is empty. */
    public Duration untilNextLeaves() {
        dropOld();
        if (events.isEmpty()) {
            return Duration.ZERO;
        }
        return Duration.ofNanos(events.peekFirst() + windowNanos - time.monotonicNanos());
    }

    private void dropOld() {
        long oldest = time.monotonicNanos() - windowNanos;
        while (!events.isEmpty() && events.peekFirst() - oldest < 0) {
            events.pollFirst();
        }
    }
}
