package io.daisyhoist.daemon.request;

import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;
import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;

/** Answers operators and the local backend server. Called on the admin server's event loop; must not block. */
public interface AdminHandler {
    /** Returns why the process is not healthy; empty when it is. */
    Optional<String> unhealthyReason();

    /** Returns why the daemon does not serve; empty when it does. */
    Optional<String> notReadyReason();

    /** Returns the state of the daemon for operators. */
    Future<JsonObject> status();

    /** Returns who owns a key; empty when the service is unknown or has no keys. */
    Future<Optional<JsonObject>> owner(ServiceName service, String key);

    /** Starts the graceful shutdown; the result says what it waits for. */
    Future<JsonObject> drain();

    /** Takes an announcement of the local backend server; fails with an {@link IllegalArgumentException} to refuse it. */
    Future<Void> announce(Announcement announcement);
}
