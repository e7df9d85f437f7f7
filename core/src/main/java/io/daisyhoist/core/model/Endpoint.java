package io.daisyhoist.core.model;

/**
 * IP address and TCP port. Immutable.
 *
 * @param host numeric IP address
 * @param port TCP port, 1 to 65535
 */
public record Endpoint(String host, int port) {
    /** Validates the host and the port. */
    public Endpoint {
        requireValid(host, port);
    }

    /**
     * Checks an address without creating it.
     *
     * @throws IllegalArgumentException if the host is empty or the port is out of range
     */
    public static void requireValid(String host, int port) {
        if (host == null || host.isBlank()) {
            throw new IllegalArgumentException("host must not be empty");
        }
        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("port must be 1 to 65535: " + port);
        }
    }

    /** Parses {@code host:port}. */
    public static Endpoint parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected host:port: " + text);
        }
        return new Endpoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
