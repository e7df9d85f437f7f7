package io.daisyhoist.core.route;

import java.time.Duration;
import java.util.List;

/**
 * Route of client requests, as configured by operators. Immutable.
 *
 * @param name name of the route
 * @param host host that requests must have
 * @param prefix path prefix that requests must have; begins and ends with a slash
 * @param kind whether its requests are idempotent
 * @param timeout maximum time until a request is answered
 * @param targetLatency target latency, after which a response is less useful
 * @param priority priority, 0 being the highest
 * @param services weighted services that handle the requests, at least one
 * @param maxAttempts maximum number of backend servers to which one request is sent, at least 1
 * @param anonymous whether its requests need no API key although the fleet has customers
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        Duration timeout,
        Duration targetLatency,
        int priority,
        List<WeightedService> services,
        int maxAttempts,
        boolean anonymous) {
    public Route {
        services = List.copyOf(services);
    }

    /** Returns this route with another priority, which a customer's requests have. */
    public Route withPriority(int customerPriority) {
        return new Route(
                name, host, prefix, kind, timeout, targetLatency, customerPriority, services, maxAttempts, anonymous);
    }

    /** Returns whether a request of this route may run more than once. */
    public boolean isIdempotent() {
        return kind == RouteKind.IDEMPOTENT;
    }
}
