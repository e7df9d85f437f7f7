package io.daisyhoist.core.membership;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.model.DaemonId;

/** Event queue in simulated time, with links that drop, delay, duplicate and reorder messages. */
final class SimulatedNetwork {
    static final long NANOS_PER_MILLI = 1_000_000;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Link> cutLinks = new HashSet<>();
    private double dropProbability;
    private double duplicateProbability;
    private double delayProbability;
    private long maxExtraDelayMillis = 1;
    private long nowNanos;
    private long sequence;

    SimulatedNetwork(Random random) {
        this.random = random;
    }

    private record Event(long atNanos, long sequence, Runnable work) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atNanos, other.atNanos);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private record Link(DaemonId from, DaemonId to) {}

    long nowNanos() {
        return nowNanos;
    }

    void schedule(long delayNanos, Runnable work) {
        events.add(new Event(nowNanos + delayNanos, sequence++, work));
    }

    /** Runs the next event and returns true, or advances to the end of the period if no event is left in it. */
    boolean runNext(long untilNanos) {
        if (events.isEmpty() || events.peek().atNanos() > untilNanos) {
            nowNanos = untilNanos;
            return false;
        }
        Event next = events.poll();
        nowNanos = next.atNanos();
        next.work().run();
        return true;
    }

    void setMessageFaults(double drop, double duplicate, double delay, long maxDelayMillis) {
        dropProbability = drop;
        duplicateProbability = duplicate;
        delayProbability = delay;
        maxExtraDelayMillis = maxDelayMillis;
    }

    void cutLink(DaemonId from, DaemonId to) {
        cutLinks.add(new Link(from, to));
    }

    void restoreLink(DaemonId from, DaemonId to) {
        cutLinks.remove(new Link(from, to));
    }

    void restoreAllLinks() {
        cutLinks.clear();
    }

    void send(DaemonId from, DaemonId to, Runnable message) {
        int copies = random.nextDouble() < duplicateProbability ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() >= dropProbability) {
                schedule(delayNanos(), () -> deliver(from, to, message));
            }
        }
    }

    private void deliver(DaemonId from, DaemonId to, Runnable message) {
        if (!cutLinks.contains(new Link(from, to))) {
            message.run();
        }
    }

    private long delayNanos() {
        long base = NANOS_PER_MILLI / 2 + random.nextInt((int) NANOS_PER_MILLI);
        return random.nextDouble() < delayProbability
                ? base + random.nextLong(maxExtraDelayMillis * NANOS_PER_MILLI)
                : base;
    }
}
