package io.daisyhoist.core.route;

import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.ServiceName;

/**
 * One version of the operators' configuration of a fleet with several services. Immutable.
 *
 * @param version number of the version; a higher one replaces a lower one
 * @param routes the routes
 * @param services the rules of each service
 * @param limits bounds on what clients may send
 */
public record FleetConfig(
        long version, RouteTable routes, Map<ServiceName, ServicePolicy> services, ClientLimits limits) {
    /** Copies the map. */
    public FleetConfig {
        services = Map.copyOf(services);
    }

    /** Returns the rules of a service; empty for a service that this version does not name. */
    public Optional<ServicePolicy> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
