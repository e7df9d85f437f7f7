package io.daisyhoist.daemon.connection;

import io.vertx.core.Future;

/** A request on its way to the backend server. Thread-safe. */
public interface BackendCall {
    /** Returns the result; it never fails. */
    Future<BackendResult> result();

    /**
     * Gives the request up: not written yet, it never will be; written, its stream is closed and a late response is
     * dropped. Without effect once there is a result.
     */
    void cancel();
}
