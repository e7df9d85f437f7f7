package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.time.TimeSource;

/**
 * Tracks the slowdown factor that a backend server reported in its latest response. Confined to one thread.
 */
final class SlowdownTracker {
    /** Short, because interference from other processes on an instance changes within a fraction of a second. */
    private static final Duration REPORT_VALIDITY = Duration.ofMillis(300);

    /** Factor from which a round trip to another backend server is worthwhile. */
    private static final double SLOW_FACTOR = 1.8;

    private static final double NORMAL_FACTOR = 1;

    private final TimeSource time;
    private double reportedFactor = NORMAL_FACTOR;
    private long reportedNanos;

    SlowdownTracker(TimeSource time) {
        this.time = time;
        this.reportedNanos = time.monotonicNanos();
    }

    /** Records a reported factor. */
    void onReport(double factor) {
        reportedFactor = factor;
        reportedNanos = time.monotonicNanos();
    }

    /** Returns the last reported factor, or 1 if there is no recent report. */
    double factor() {
        boolean recent = time.monotonicNanos() - reportedNanos < REPORT_VALIDITY.toNanos();
        return recent ? reportedFactor : NORMAL_FACTOR;
    }

    /** Returns whether requests currently take much longer than usual. */
    boolean isSlow() {
        return factor() >= SLOW_FACTOR;
    }
}
