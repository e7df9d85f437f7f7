package io.daisyhoist.daemon.connection;

import io.daisyhoist.core.membership.SwapResult;

/**
 * Outcome of a compare-and-swap. Immutable.
 *
 * @param result whether the write took effect
 * @param revision the new revision if applied, otherwise 0
 */
public record SwapOutcome(SwapResult result, long revision) {
    static final SwapOutcome CONFLICT = new SwapOutcome(SwapResult.CONFLICT, 0);
    static final SwapOutcome UNKNOWN = new SwapOutcome(SwapResult.UNKNOWN, 0);
}
