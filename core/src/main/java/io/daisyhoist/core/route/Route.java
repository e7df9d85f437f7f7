package io.daisyhoist.core.route;

import java.time.Duration;
import java.util.List;

/**
 * One route of the operators' configuration. Immutable.
 *
 * @param name name that the operators gave it
 * @param host host of the requests
 * @param prefix start of their paths; begins and ends with a slash
 * @param kind whether a request may run more than once
 * @param timeout longest time that a request is kept waiting
 * @param target time within which an answer is most useful
 * @param priority rank, 0 being the most urgent
 * @param services services that share the requests, at least one
 * @param maxAttempts most backend servers that one request is sent to, at least 1
 */
public record Route(
        String name,
        String host,
        String prefix,
        RouteKind kind,
        Duration timeout,
        Duration target,
        int priority,
        List<WeightedService> services,
        int maxAttempts) {
    /** Copies the list. */
    public Route {
        services = List.copyOf(services);
    }

    /** Returns whether a request may run more than once. */
    public boolean isIdempotent() {
        return kind == RouteKind.IDEMPOTENT;
    }
}
