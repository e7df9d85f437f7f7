package io.daisyhoist.core.client;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The open connections of clients, and which of them are given up for others.
 *
 * <p>Invariant: no connection is given up whose request may have reached a backend server, unless its client has taken no byte of
 * the response for a while. Confined to one event loop.
 */
public final class ConnectionTable {
    private final ConnectionBounds bounds;
    private final Set<ConnectionState> connections = new LinkedHashSet<>();
    private final Map<String, Integer> countByAddress = new HashMap<>();

    /** Creates an empty table. */
    public ConnectionTable(ConnectionBounds bounds) {
        this.bounds = bounds;
    }

    /** Adds a connection, even if there are too many. */
    public void add(ConnectionState connection) {
        connections.add(connection);
        countByAddress.merge(connection.address(), 1, Integer::sum);
    }

    /** Removes a connection that was closed. */
    public void remove(ConnectionState connection) {
        if (connections.remove(connection)) {
            countByAddress.computeIfPresent(connection.address(), (address, count) -> count > 1 ? count - 1 : null);
        }
    }

    /** Returns all connections in the order in which they were opened. */
    public Collection<ConnectionState> all() {
        return connections;
    }

    /**
     * Returns the connection to close because there are too many: of an address that has too many, or else of the address
     * that has most. It is the newest one if no other can be given up.
     */
    public Optional<ConnectionState> excess(ConnectionState newest, long nowNanos) {
        if (countByAddress.getOrDefault(newest.address(), 0) > bounds.maxConnectionsPerAddress()) {
            return Optional.of(leastUseful(newest.address(), newest, nowNanos));
        }
        if (connections.size() <= bounds.maxConnections()) {
            return Optional.empty();
        }
        String address = countByAddress.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .orElseThrow()
                .getKey();
        return Optional.of(leastUseful(address, newest, nowNanos));
    }

    private ConnectionState leastUseful(String address, ConnectionState newest, long nowNanos) {
        return connections.stream()
                .filter(connection ->
                        connection != newest && connection.address().equals(address))
                .filter(connection -> connection.mayBeGivenUp(nowNanos))
                .min(Comparator.comparingInt((ConnectionState connection) -> connection.usefulness(nowNanos))
                        .thenComparing(Comparator.comparingLong(
                                        (ConnectionState connection) -> connection.stallNanos(nowNanos))
                                .reversed()))
                .orElse(newest);
    }

    /** Returns the connection to give up because memory does not suffice: it holds most and moves least. */
    public Optional<ConnectionState> heaviest(long nowNanos) {
        return connections.stream()
                .filter(connection -> connection.heldBytes() > 0 && connection.mayBeGivenUp(nowNanos))
                .filter(connection -> connection.phase() != ConnectionState.Phase.REFUSED)
                .max(Comparator.comparingDouble(connection -> connection.memoryWeight(nowNanos)));
    }
}
