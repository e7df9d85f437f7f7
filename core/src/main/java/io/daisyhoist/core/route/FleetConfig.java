package io.daisyhoist.core.route;

import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.customer.CustomerTable;
import io.daisyhoist.core.model.ServiceName;

/**
 * One version of the operators' configuration of a fleet with several services. Immutable.
 *
 * @param version version number; a higher version replaces a lower one
 * @param routes routes of client requests
 * @param services policy of each service
 * @param limits limits on client requests and connections
 * @param customers customers whose keys requests need; empty if requests need no key
 */
public record FleetConfig(
        long version,
        RouteTable routes,
        Map<ServiceName, ServicePolicy> services,
        ClientLimits limits,
        CustomerTable customers) {
    public FleetConfig {
        services = Map.copyOf(services);
    }

    /** Creates a configuration without customers, whose requests need no key. */
    public FleetConfig(long version, RouteTable routes, Map<ServiceName, ServicePolicy> services, ClientLimits limits) {
        this(version, routes, services, limits, CustomerTable.EMPTY);
    }

    /** Returns the policy of a service; empty if this version does not configure it. */
    public Optional<ServicePolicy> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }
}
