package io.daisyhoist.core.client;

/**
 * Limits on connections of clients that the operators' configuration does not contain. Immutable.
 *
 * @param maxHeaderFields maximum number of header fields of a request
 * @param maxPipelinedBytes bytes beyond a running request after which its connection is not read until the response is written
 * @param minBodyBytesPerSecond minimum rate of a body, on average over the idle timeout
 * @param maxConnections maximum number of open connections
 * @param maxConnectionsPerAddress maximum number of open connections of one address
 */
public record ConnectionBounds(
        int maxHeaderFields,
        int maxPipelinedBytes,
        int minBodyBytesPerSecond,
        int maxConnections,
        int maxConnectionsPerAddress) {
    /** The number of fields is more than a head of the default size can contain. */
    public static final ConnectionBounds DEFAULT = new ConnectionBounds(16_384, 16_384, 256, 2_048, 1_536);

    /** The rest is for other daemons, the backend server, the store and files. */
    private static final double SHARE_OF_DESCRIPTORS = 1.0 / 3;

    /** Part of the connections that one address may have; all ordinary clients may share an address. */
    private static final double SHARE_OF_ADDRESS = 0.75;

    private static final int MAX_INTERNAL_CONNECTIONS = 64;

    /** Connections of an internal port for each one of the client port, where descriptors are few. */
    private static final double SHARE_OF_INTERNAL_PORT = 0.25;

    /** Returns the default maximum number of connections for a process with the given maximum number of descriptors. */
    public static int maxConnections(int maxDescriptors) {
        return (int) Math.max(1, Math.min(DEFAULT.maxConnections(), maxDescriptors * SHARE_OF_DESCRIPTORS));
    }

    /** Returns the maximum number of connections of a port that only operators, the platform and the backend server use. */
    public static int maxInternalConnections(int maxConnections) {
        return (int) Math.max(1, Math.min(MAX_INTERNAL_CONNECTIONS, maxConnections * SHARE_OF_INTERNAL_PORT));
    }

    /** Returns the maximum number of connections at the port for other daemons whose sender is not known yet. */
    public static int maxUnidentifiedPeers(int maxConnections) {
        return (int) Math.max(1, maxConnections * SHARE_OF_INTERNAL_PORT);
    }

    /** Returns the default maximum number of connections of one address. */
    public static int maxConnectionsPerAddress(int maxConnections) {
        return (int) Math.max(1, maxConnections * SHARE_OF_ADDRESS);
    }
}
