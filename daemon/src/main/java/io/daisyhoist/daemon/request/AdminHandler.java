package io.daisyhoist.daemon.request;

import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;

/**
 * Handles requests of operators and of the local backend server. Called on the admin server's event loop; must not
 * block.
 */
public interface AdminHandler {
    /** Returns the reason why the process is unhealthy; empty if it is healthy. */
    Optional<String> unhealthyReason();

    /** Returns the reason why the daemon is not ready to serve requests; empty if it is ready. */
    Optional<String> notReadyReason();

    /** Returns the status of the daemon. */
    Future<JsonObject> status();

    /** Returns the owner of a key; empty if the service is unknown or has no keys. */
    Future<Optional<JsonObject>> owner(ServiceName service, String key);

    /** Starts the graceful shutdown and returns the new state of the daemon. */
    Future<JsonObject> drain();

    /**
     * Processes an announcement of the local backend server; fails with an {@link IllegalArgumentException} if invalid.
     */
    Future<Void> announce(Announcement announcement);
}
