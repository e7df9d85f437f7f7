package io.daisyhoist.core.keyrange;

/**
 * Keys that a backend server is told to hold. Immutable.
 *
 * @param range the keys
 * @param fence fencing token
 * @param handoverToken token of the last holder; empty when there is none
 */
public record GrantedRange(KeyRange range, long fence, String handoverToken) {}
