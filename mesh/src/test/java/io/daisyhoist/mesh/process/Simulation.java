package io.daisyhoist.mesh.process;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

import io.daisyhoist.core.time.TimeSource;
import io.daisyhoist.daemon.process.ControlExecutor;

/** Discrete-event simulation with control threads and clocks of simulated processes. */
final class Simulation {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos = Duration.ofDays(1).toNanos();
    private long number;

    private record Event(long atNanos, long number, Runnable action) {}

    long nowNanos() {
        return nowNanos;
    }

    void at(Duration delay, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delay.toNanos()), number++, action));
    }

    void runFor(Duration span) {
        long endNanos = nowNanos + span.toNanos();
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event next = events.poll();
            nowNanos = next.atNanos();
            next.action().run();
        }
        nowNanos = endNanos;
    }

    /** Simulated process with a control thread and clocks; it can be killed, frozen or suspended. */
    final class Process implements ControlExecutor, TimeSource {
        private boolean killed;
        private long frozenUntilNanos;
        private long suspendedNanos;

        void kill() {
            killed = true;
        }

        boolean isKilled() {
            return killed;
        }

        boolean isFrozen() {
            return frozenUntilNanos > nowNanos;
        }

        /** Stops running tasks for a time span; the monotonic clock of a suspended process stops as well. */
        void freeze(Duration span, boolean suspended) {
            frozenUntilNanos = Math.max(frozenUntilNanos, nowNanos + span.toNanos());
            if (suspended) {
                suspendedNanos += span.toNanos();
            }
        }

        @Override
        public void execute(Runnable task) {
            scheduleOnce(task, Duration.ZERO);
        }

        @Override
        public void scheduleOnce(Runnable task, Duration delay) {
            at(delay, () -> run(task));
        }

        private void run(Runnable task) {
            if (killed) {
                return;
            }
            if (isFrozen()) {
                at(Duration.ofNanos(frozenUntilNanos - nowNanos), () -> run(task));
                return;
            }
            task.run();
        }

        @Override
        public void scheduleWithFixedDelay(Runnable task, Duration interval) {
            scheduleOnce(
                    () -> {
                        task.run();
                        scheduleWithFixedDelay(task, interval);
                    },
                    interval);
        }

        @Override
        public long monotonicNanos() {
            return nowNanos - suspendedNanos;
        }

        @Override
        public Instant wallTime() {
            return Instant.EPOCH.plusNanos(nowNanos);
        }
    }

    Process process() {
        return new Process();
    }
}
