package io.daisyhoist.core.admission;

import java.time.Duration;

/**
 * Tells which kinds of request are served much less often than all together. Old requests lose their weight. Confined to
 * one thread.
 */
public final class KindShares {
    /** Further kinds share the last number. */
    public static final int MAX_KINDS = 64;

    /** With fewer requests, a low share is chance. */
    private static final double MIN_OFFERED = 3;

    private static final long HALVING_NANOS = Duration.ofSeconds(5).toNanos();
    private static final double HALF = 0.5;

    private final double[] offered = new double[MAX_KINDS];
    private final double[] served = new double[MAX_KINDS];
    private double allOffered;
    private double allServed;
    private final double minShare;
    private long lastHalvedNanos;

    /**
     * Creates shares without requests.
     *
     * @param minShare how often each kind is to be served at least, as a part of how often all are
     */
    public KindShares(double minShare, long nowNanos) {
        this.minShare = minShare;
        this.lastHalvedNanos = nowNanos;
    }

    /** Records a request that arrived. */
    public void onOffered(int kind, long nowNanos) {
        if (nowNanos - lastHalvedNanos >= HALVING_NANOS) {
            lastHalvedNanos = nowNanos;
            halve();
        }
        offered[kind]++;
        allOffered++;
    }

    /** Records a request that was sent to the backend server. */
    public void onServed(int kind) {
        served[kind]++;
        allServed++;
    }

    /** Returns whether requests of a kind are to be served next, because too few of them have been. */
    public boolean isBelowShare(int kind) {
        return offered[kind] >= MIN_OFFERED && served[kind] * allOffered < minShare * allServed * offered[kind];
    }

    private void halve() {
        for (int kind = 0; kind < MAX_KINDS; kind++) {
            offered[kind] *= HALF;
            served[kind] *= HALF;
        }
        allOffered *= HALF;
        allServed *= HALF;
    }
}
