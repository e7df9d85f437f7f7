package io.daisyhoist.mesh.connection;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.WeakHashMap;

import io.vertx.core.http.HttpConnection;

/**
 * Ids of the latest requests on each connection.
 *
 * <p>A late response on a connection is recognized by its id, unless the connection carries a request with the same id again.
 * That is noticed for the latest requests only: a response that is late by more of them is not recognized. Confined to the
 * traffic event loop.
 */
final class SentRequestIds {
    private static final int MAX_IDS_PER_CONNECTION = 64;

    private final Map<HttpConnection, Deque<String>> idsByConnection = new WeakHashMap<>();

    /** Records a request; returns {@code false} if one with the same id was sent on the connection before. */
    boolean add(HttpConnection connection, String id) {
        Deque<String> ids = idsByConnection.computeIfAbsent(connection, added -> new ArrayDeque<>());
        if (ids.contains(id)) {
            return false;
        }
        if (ids.size() >= MAX_IDS_PER_CONNECTION) {
            ids.removeFirst();
        }
        ids.addLast(id);
        return true;
    }
}
