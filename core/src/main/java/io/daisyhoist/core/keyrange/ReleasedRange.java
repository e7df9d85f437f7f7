package io.daisyhoist.core.keyrange;

/**
 * Keys that a backend server has given up. Immutable.
 *
 * @param range the keys
 * @param handoverToken token with which the next holder serves them without a warm-up
 */
public record ReleasedRange(KeyRange range, String handoverToken) {}
