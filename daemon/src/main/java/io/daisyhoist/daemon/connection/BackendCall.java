package io.daisyhoist.daemon.connection;

import io.vertx.core.Future;

/** Pending request to the backend server. Thread-safe. */
public interface BackendCall {
    /** Returns the future result, which never fails. */
    Future<BackendResult> result();

    /**
     * Cancels the request: an unwritten request is never written; the stream of a written request is closed and a late
     * response is dropped. Has no effect once there is a result.
     */
    void cancel();
}
