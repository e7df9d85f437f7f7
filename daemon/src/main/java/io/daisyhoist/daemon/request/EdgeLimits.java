package io.daisyhoist.daemon.request;

/**
 * Bounds of requests of clients. Immutable.
 *
 * @param maxHeaderBytes largest request head
 * @param maxBodyBytes largest request body
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes) {
    /** Bounds of the design. */
    public static final EdgeLimits DEFAULT = new EdgeLimits(16 << 10, 1 << 20);
}
