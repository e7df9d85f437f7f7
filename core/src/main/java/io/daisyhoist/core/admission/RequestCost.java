package io.daisyhoist.core.admission;

/**
 * What a caller loses if a request is delayed or refused, and the work that it needs. Immutable.
 *
 * @param kind small number of the kind of request, below {@link KindShares#MAX_KINDS}
 * @param priority configured priority; 0 is the most urgent
 * @param nested whether it is a call on behalf of a request that a backend server is already running
 * @param targetNanos monotonic time until which a response has its full value
 * @param deadlineNanos monotonic time from which a response has no value
 * @param work expected run time
 */
public record RequestCost(
        int kind, int priority, boolean nested, long targetNanos, long deadlineNanos, WorkEstimate work) {
    /** Returns the time left until the latency target after a run that starts now; negative if it would be late. */
    public long targetSlackNanos(long nowNanos) {
        return targetNanos - nowNanos - work.plannedNanos();
    }

    /** Returns the time left until the deadline after a run that starts now; negative if it would be useless. */
    public long deadlineSlackNanos(long nowNanos) {
        return deadlineNanos - nowNanos - work.plannedNanos();
    }
}
