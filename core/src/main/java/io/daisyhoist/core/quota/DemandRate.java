package io.daisyhoist.core.quota;

/** Moving average of the rate of events, with exponential decay. Confined to one thread. */
final class DemandRate {
    private static final double DECAY_NANOS = 2e9;
    private static final double NANOS_PER_SECOND = 1e9;

    private double weight;
    private long updatedNanos;

    DemandRate(long nowNanos) {
        this.updatedNanos = nowNanos;
    }

    void record(long nowNanos) {
        decay(nowNanos);
        weight++;
    }

    double perSecond(long nowNanos) {
        decay(nowNanos);
        return weight / DECAY_NANOS * NANOS_PER_SECOND;
    }

    private void decay(long nowNanos) {
        weight *= Math.exp(-(nowNanos - updatedNanos) / DECAY_NANOS);
        updatedNanos = nowNanos;
    }
}
