package io.daisyhoist.testkit.platform;

import io.vertx.core.json.JsonObject;

/** Counts of the calls that the platform stand-in received. Thread-safe. */
public final class CallCounters {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private long reads;
    private long writes;
    private long watches;
    private long watchesWaiting;
    private long conflicts;
    private long lostResponses;
    private long currentSecond;
    private long callsThisSecond;
    private long callsLastSecond;
    private long peakCallsPerSecond;

    /** Counts a read. */
    public synchronized void read(long nowNanos) {
        reads++;
        call(nowNanos);
    }

    /** Counts a write, whether or not it takes effect. */
    public synchronized void write(long nowNanos) {
        writes++;
        call(nowNanos);
    }

    /** Counts the start of a watch, which is one call however long it waits. */
    public synchronized void watch(long nowNanos) {
        watches++;
        call(nowNanos);
    }

    /** Changes the count of watches that wait now. */
    public synchronized void addWatchesWaiting(int change) {
        watchesWaiting += change;
    }

    /** Counts a write refused because the revision had changed. */
    public synchronized void conflict() {
        conflicts++;
    }

    /** Counts a write that took effect without an answer. */
    public synchronized void lostResponse() {
        lostResponses++;
    }

    /** Returns all counts as JSON. */
    public synchronized JsonObject toJson(long nowNanos) {
        roll(nowNanos);
        return new JsonObject()
                .put("reads", reads)
                .put("writes", writes)
                .put("watches", watches)
                .put("watches_waiting", watchesWaiting)
                .put("conflicts", conflicts)
                .put("lost_responses", lostResponses)
                .put("calls_per_second", callsLastSecond)
                .put("peak_calls_per_second", peakCallsPerSecond);
    }

    private void call(long nowNanos) {
        roll(nowNanos);
        callsThisSecond++;
        peakCallsPerSecond = Math.max(peakCallsPerSecond, callsThisSecond);
    }

    private void roll(long nowNanos) {
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        if (second == currentSecond) {
            return;
        }
        callsLastSecond = second == currentSecond + 1 ? callsThisSecond : 0;
        callsThisSecond = 0;
        currentSecond = second;
    }
}
