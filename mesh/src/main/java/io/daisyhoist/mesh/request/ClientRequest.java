package io.daisyhoist.mesh.request;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;

import io.daisyhoist.core.customer.CustomerCredential;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.time.Deadline;
import io.daisyhoist.daemon.connection.HttpField;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;

/**
 * Complete request of a client with its route. Immutable.
 *
 * @param id id that the client assigned to this attempt
 * @param route matching route, with the priority of the customer if that has one
 * @param configVersion version of the configuration that contains the route
 * @param key key of the request, if it has one
 * @param method HTTP method
 * @param uri path and query
 * @param headers end-to-end headers
 * @param body complete body
 * @param arrivedNanos monotonic time of arrival
 * @param deadline latest time of the response
 * @param cancelled completes when the client has disconnected
 * @param customer customer whose API key the request has; empty if it needs no key
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
        Future<Void> cancelled,
        Optional<CustomerCredential> customer) {}
