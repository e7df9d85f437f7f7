package io.daisyhoist.core.route;

/** Whether the requests of a route may run more than once. */
public enum RouteKind {
    IDEMPOTENT,
    NON_IDEMPOTENT
}
