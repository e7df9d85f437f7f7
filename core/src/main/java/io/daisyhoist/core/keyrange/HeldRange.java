package io.daisyhoist.core.keyrange;

/**
 * Keys that a backend server holds. Immutable.
 *
 * @param range the keys
 * @param fence fencing token of the grant
 */
public record HeldRange(KeyRange range, long fence) {}
