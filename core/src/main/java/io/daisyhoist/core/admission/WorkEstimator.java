package io.daisyhoist.core.admission;

import java.util.HashMap;
import java.util.Map;

import io.daisyhoist.core.time.TimeSource;

/**
 * Learns the run time of each kind of request from responses. Kinds beyond {@value #MAX_KINDS} share one estimate.
 * Confined to one thread.
 */
public final class WorkEstimator {
    private static final int MAX_KINDS = 64;

    /** A single very long run moves the mean by no more than a run of this many times the mean. */
    private static final double MAX_RATIO = 4;

    private final TimeSource time;
    private final double gainUp;
    private final double gainDown;
    private final Map<String, State> stateByKind = new HashMap<>();
    private final State otherKinds = new State();

    private static final class State {
        private double meanNanos;
        private long updatedNanos;
    }

    /**
     * Creates an estimator that knows nothing.
     *
     * @param gainUp weight of a sample above the estimate
     * @param gainDown weight of a sample below it; a higher one leaves out waiting times that some samples contain
     */
    public WorkEstimator(TimeSource time, double gainUp, double gainDown) {
        this.time = time;
        this.gainUp = gainUp;
        this.gainDown = gainDown;
    }

    /** Records the run time of a request that ran to its end. */
    public void record(String kind, long runNanos) {
        State state = state(kind);
        double mean = state.meanNanos == 0 ? runNanos : state.meanNanos;
        double difference = Math.min(runNanos, MAX_RATIO * mean) - mean;
        state.meanNanos = mean + (difference > 0 ? gainUp : gainDown) * difference;
        state.updatedNanos = time.monotonicNanos();
    }

    /** Returns the expected run time of a kind of request. */
    public WorkEstimate estimate(String kind) {
        State state = state(kind);
        return state.meanNanos == 0
                ? WorkEstimate.UNKNOWN
                : new WorkEstimate((long) state.meanNanos, time.monotonicNanos() - state.updatedNanos);
    }

    private State state(String kind) {
        State known = stateByKind.get(kind);
        if (known != null) {
            return known;
        }
        if (stateByKind.size() >= MAX_KINDS) {
            return otherKinds;
        }
        State created = new State();
        stateByKind.put(kind, created);
        return created;
    }
}
