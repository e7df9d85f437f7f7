package io.daisyhoist.core.keyrange;

/**
 * Key range that a backend server has released. Immutable.
 *
 * @param range released keys
 * @param handoverToken token that lets the next holder serve the keys without a warm-up
 */
public record ReleasedRange(KeyRange range, String handoverToken) {}
