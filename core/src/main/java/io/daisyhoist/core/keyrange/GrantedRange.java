package io.daisyhoist.core.keyrange;

/**
 * Key range granted to a backend server. Immutable.
 *
 * @param range granted keys
 * @param fence fencing token of the grant
 * @param handoverToken handover token issued by the previous holder; empty if there is none
 */
public record GrantedRange(KeyRange range, long fence, String handoverToken) {}
