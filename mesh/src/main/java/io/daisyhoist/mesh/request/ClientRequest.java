package io.daisyhoist.mesh.request;

import java.util.List;
import java.util.OptionalInt;

import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * A whole request of a client with its route. Immutable.
 *
 * @param id identity that the client gave to this attempt
 * @param route its route
 * @param configVersion version of the configuration that the route belongs to
 * @param key its key, if it has one
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body whole body
 * @param arrivedNanos monotonic time of its arrival
 * @param deadline time at which it gets an answer at the latest
 * @param cancelled completes when the client has gone
 */
public record ClientRequest(
        String id,
        Route route,
        long configVersion,
        OptionalInt key,
        String method,
        String uri,
        List<HttpField> headers,
        Buffer body,
        long arrivedNanos,
        Deadline deadline,
        Future<Void> cancelled) {}
