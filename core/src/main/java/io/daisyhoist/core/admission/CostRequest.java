package io.daisyhoist.core.admission;

/** Request that was offered to a {@link CostAdmission}. Immutable; equal only to itself. */
public final class CostRequest {
    private final RequestCost cost;
    private final long latestStartNanos;

    CostRequest(RequestCost cost, long latestStartNanos) {
        this.cost = cost;
        this.latestStartNanos = latestStartNanos;
    }

    /** Returns what its caller loses by a refusal. */
    public RequestCost cost() {
        return cost;
    }

    /** Returns the monotonic time after which it is not started any more. */
    public long latestStartNanos() {
        return latestStartNanos;
    }
}
