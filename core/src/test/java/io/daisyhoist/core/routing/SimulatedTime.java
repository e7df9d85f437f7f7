package io.daisyhoist.core.routing;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import io.daisyhoist.core.time.TimeSource;

/** Clock of a discrete-event run: jumps from event to event, in order of time and then of scheduling. */
final class SimulatedTime implements TimeSource {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::nanos).thenComparingLong(Event::number));
    private long nowNanos;
    private long scheduled;

    private record Event(long nanos, long number, Runnable action) {}

    void after(double millis, Runnable action) {
        events.add(new Event(nowNanos + (long) (millis * 1e6), scheduled++, action));
    }

    /** Runs the action now and then again and again. */
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
