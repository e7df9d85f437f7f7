package io.daisyhoist.core.keyrange;

/**
 * Key range that a backend server reports as held. Immutable.
 *
 * @param range held keys
 * @param fence fencing token of the grant
 */
public record HeldRange(KeyRange range, long fence) {}
