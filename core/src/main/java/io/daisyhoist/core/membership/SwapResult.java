package io.daisyhoist.core.membership;

/** Outcome of a compare-and-swap on the platform's store. */
public enum SwapResult {
    /** The write took effect. */
    APPLIED,
    /** The expected revision was not current, so the write had no effect. */
    CONFLICT,
    /** No response: the write may have taken effect, may still take effect, or may never arrive. */
    UNKNOWN
}
