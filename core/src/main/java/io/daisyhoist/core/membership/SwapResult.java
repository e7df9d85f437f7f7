package io.daisyhoist.core.membership;

/** Outcome of a compare-and-swap on the platform's store. */
public enum SwapResult {
    /** The write took effect. */
    APPLIED,
    /** The expected revision was not current, so the write had no effect. */
    CONFLICT,
    /** No answer: the write may take effect, have taken effect, or never arrive. */
    UNKNOWN
}
