package io.daisyhoist.core.membership;

import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import io.daisyhoist.core.model.DaemonId;

/** Event queue on simulated time, and links that drop, delay, duplicate and reorder messages. */
final class SimulatedNetwork {
    static final long MILLI = 1_000_000;

    private final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Set<Link> cut = new HashSet<>();
    private double dropShare;
    private double duplicateShare;
    private double slowShare;
    private long slowestMillis = 1;
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

    void after(long delayNanos, Runnable work) {
        events.add(new Event(nowNanos + delayNanos, sequence++, work));
    }

    /** Runs the next event and returns true, or moves to the end of the period when none is left in it. */
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

    void setQuality(double drops, double duplicates, double slow, long slowest) {
        dropShare = drops;
        duplicateShare = duplicates;
        slowShare = slow;
        slowestMillis = slowest;
    }

    void cut(DaemonId from, DaemonId to) {
        cut.add(new Link(from, to));
    }

    void heal(DaemonId from, DaemonId to) {
        cut.remove(new Link(from, to));
    }

    void healAll() {
        cut.clear();
    }

    void send(DaemonId from, DaemonId to, Runnable delivery) {
        int copies = random.nextDouble() < duplicateShare ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() >= dropShare) {
                after(delayNanos(), () -> deliver(from, to, delivery));
            }
        }
    }

    private void deliver(DaemonId from, DaemonId to, Runnable delivery) {
        if (!cut.contains(new Link(from, to))) {
            delivery.run();
        }
    }

    private long delayNanos() {
        long base = MILLI / 2 + random.nextInt((int) MILLI);
        return random.nextDouble() < slowShare ? base + random.nextLong(slowestMillis * MILLI) : base;
    }
}
