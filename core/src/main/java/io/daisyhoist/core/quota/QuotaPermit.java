package io.daisyhoist.core.quota;

/** Quota that one request has taken. Confined to the thread of its admission. */
public final class QuotaPermit {
    /** Permit of a request whose customer has no quota. */
    public static final QuotaPermit UNLIMITED = new QuotaPermit(() -> {});

    private final Runnable giveBack;
    private boolean released;

    QuotaPermit(Runnable giveBack) {
        this.giveBack = giveBack;
    }

    /** Returns the quota of a request that has not run and never will. Only the first call has an effect. */
    public void release() {
        if (!released) {
            released = true;
            giveBack.run();
        }
    }
}
