package io.daisyhoist.testkit.backend;

/** Limit of concurrent requests that grows linearly after a start. Confined to one event loop. */
final class ColdStartLimit {
    private static final double NANOS_PER_MILLI = 1e6;

    private final int coldLimit;
    private final int slots;
    private final long warmUpMillis;
    private long startNanos;

    ColdStartLimit(int coldLimit, int slots, long warmUpMillis) {
        this.coldLimit = Math.min(coldLimit, slots);
        this.slots = slots;
        this.warmUpMillis = warmUpMillis;
    }

    void start(long nowNanos) {
        startNanos = nowNanos;
    }

    int limit(long nowNanos) {
        double elapsedMillis = (nowNanos - startNanos) / NANOS_PER_MILLI;
        if (elapsedMillis >= warmUpMillis) {
            return slots;
        }
        return coldLimit + (int) ((slots - coldLimit) * elapsedMillis / warmUpMillis);
    }
}
