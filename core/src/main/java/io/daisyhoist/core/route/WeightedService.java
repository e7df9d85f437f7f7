package io.daisyhoist.core.route;

import io.daisyhoist.core.model.ServiceName;

/**
 * Service of a route and its weight. Immutable.
 *
 * @param service the service
 * @param weight weight relative to the other services of the route, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
