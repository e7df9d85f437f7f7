package io.daisyhoist.core.admission;

import java.time.Duration;
import java.util.ArrayDeque;

import io.daisyhoist.core.time.TimeSource;

/**
 * Sliding-window event counter with an optional limit.
 *
 * <p>Invariant: events recorded by {@link #tryRecord} never raise the count of the window above the limit given with
 * the call. Confined to one thread.
 */
public final class SlidingWindowCounter {
    private final TimeSource time;
    private final long windowNanos;
    private final ArrayDeque<Long> eventNanos = new ArrayDeque<>();

    public SlidingWindowCounter(TimeSource time, Duration window) {
        this.time = time;
        this.windowNanos = window.toNanos();
    }

    /** Records an event regardless of a limit. */
    public void record() {
        eventNanos.addLast(time.monotonicNanos());
        removeExpired();
    }

    /** Records an event if the window then contains at most {@code limit} events; returns false otherwise. */
    public boolean tryRecord(double limit) {
        if (count() + 1 > limit) {
            return false;
        }
        record();
        return true;
    }

    /** Returns the number of events in the window. */
    public int count() {
        removeExpired();
        return eventNanos.size();
    }

    /** Returns the time until the oldest event leaves the window; zero if the window is empty. */
    public Duration timeUntilNextExpiry() {
        removeExpired();
        if (eventNanos.isEmpty()) {
            return Duration.ZERO;
        }
        return Duration.ofNanos(eventNanos.peekFirst() + windowNanos - time.monotonicNanos());
    }

    private void removeExpired() {
        long windowStartNanos = time.monotonicNanos() - windowNanos;
        while (!eventNanos.isEmpty() && eventNanos.peekFirst() - windowStartNanos < 0) {
            eventNanos.pollFirst();
        }
    }
}
