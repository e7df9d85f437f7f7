package io.daisyhoist.core.route;

import io.daisyhoist.core.model.ServiceName;

/**
 * A service with its share of a route's requests. Immutable.
 *
 * @param service the service
 * @param weight share relative to the other services of the route, at least 0
 */
public record WeightedService(ServiceName service, int weight) {}
