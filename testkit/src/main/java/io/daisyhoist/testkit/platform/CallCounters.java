package io.daisyhoist.testkit.platform;

import io.vertx.core.json.JsonObject;

/** Counters of the calls that the simulated platform received. Thread-safe. */
public final class CallCounters {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private long reads;
    private long writes;
    private long watches;
    private long pendingWatches;
    private long conflicts;
    private long lostResponses;
    private long currentSecond;
    private long callsThisSecond;
    private long callsLastSecond;
    private long peakCallsPerSecond;

    /** Counts a read. */
    public synchronized void countRead(long nowNanos) {
        reads++;
        countCall(nowNanos);
    }

    /** Counts a write, whether or not it takes effect. */
    public synchronized void countWrite(long nowNanos) {
        writes++;
        countCall(nowNanos);
    }

    /** Counts the start of a watch, which is one call regardless of its duration. */
    public synchronized void countWatch(long nowNanos) {
        watches++;
        countCall(nowNanos);
    }

    /** Adds to the number of pending watches. */
    public synchronized void addPendingWatches(int change) {
        pendingWatches += change;
    }

    /** Counts a write rejected because the revision had changed. */
    public synchronized void countConflict() {
        conflicts++;
    }

    /** Counts a write that took effect but whose response was lost. */
    public synchronized void countLostResponse() {
        lostResponses++;
    }

    /** Returns all counters as JSON. */
    public synchronized JsonObject toJson(long nowNanos) {
        advanceSecond(nowNanos);
        return new JsonObject()
                .put("reads", reads)
                .put("writes", writes)
                .put("watches", watches)
                .put("watches_waiting", pendingWatches)
                .put("conflicts", conflicts)
                .put("lost_responses", lostResponses)
                .put("calls_per_second", callsLastSecond)
                .put("peak_calls_per_second", peakCallsPerSecond);
    }

    private void countCall(long nowNanos) {
        advanceSecond(nowNanos);
        callsThisSecond++;
        peakCallsPerSecond = Math.max(peakCallsPerSecond, callsThisSecond);
    }

    private void advanceSecond(long nowNanos) {
        long second = Math.floorDiv(nowNanos, NANOS_PER_SECOND);
        if (second == currentSecond) {
            return;
        }
        callsLastSecond = second == currentSecond + 1 ? callsThisSecond : 0;
        callsThisSecond = 0;
        currentSecond = second;
    }
}
