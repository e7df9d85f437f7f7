package io.daisyhoist.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import io.daisyhoist.core.time.TimeSource;

/** Clock and event queue of a discrete-event simulation; simultaneous events run in the order of their scheduling. */
final class SimulatedTime implements TimeSource {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::sequence));
    private long nowNanos;
    private long nextSequence;

    private record Event(long nanos, long sequence, Runnable action) {}

    void after(double millis, Runnable action) {
        events.add(new Event(nowNanos + (long) (millis * 1e6), nextSequence++, action));
    }

    /** Runs an action now and then periodically. */
    void every(double millis, Runnable action) {
        action.run();
        after(millis, () -> every(millis, action));
    }

    void runUntil(Duration end) {
        while (!events.isEmpty() && events.peek().nanos() <= end.toNanos()) {
            Event event = events.poll();
            nowNanos = event.nanos();
            event.action().run();
        }
    }

    double nowMillis() {
        return nowNanos / 1e6;
    }

    @Override
    public long monotonicNanos() {
        return nowNanos;
    }

    @Override
    public Instant wallTime() {
        return Instant.EPOCH.plusNanos(nowNanos);
    }
}
