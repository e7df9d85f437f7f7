package io.daisyhoist.daemon.request;

/**
 * Limits of client requests. Immutable.
 *
 * @param maxHeaderBytes maximum size of the request headers
 * @param maxBodyBytes maximum size of the request body
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes) {
    /** Default limits, equal to those of the settings file. */
    public static final EdgeLimits DEFAULT = new EdgeLimits(16 << 10, 1 << 20);
}
