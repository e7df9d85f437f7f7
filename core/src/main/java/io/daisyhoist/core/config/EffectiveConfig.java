package io.daisyhoist.core.config;

import java.util.Map;
import java.util.Optional;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;

/**
 * Validated configuration that results from merging the files of one version. Immutable.
 *
 * @param version version of the configuration document, 0 when there is none
 * @param services settings by service
 * @param zones state of each zone that the files name
 * @param workers planned backend servers by the id of their daemon
 */
public record EffectiveConfig(
        long version,
        Map<ServiceName, ServiceSettings> services,
        Map<AvailabilityZone, ZoneState> zones,
        Map<DaemonId, WorkerSettings> workers) {
    /** The configuration before the first push. */
    public static final EffectiveConfig EMPTY = new EffectiveConfig(0, Map.of(), Map.of());

    /** Copies the maps. */
    public EffectiveConfig {
        services = Map.copyOf(services);
        zones = Map.copyOf(zones);
        workers = Map.copyOf(workers);
    }

    /** Creates a configuration without workers. */
    public EffectiveConfig(
            long version, Map<ServiceName, ServiceSettings> services, Map<AvailabilityZone, ZoneState> zones) {
        this(version, services, zones, Map.of());
    }

    /** Finds the settings of a service. */
    public Optional<ServiceSettings> service(ServiceName name) {
        return Optional.ofNullable(services.get(name));
    }

    /** Returns whether a zone has been taken out of service. */
    public boolean isOut(AvailabilityZone zone) {
        return zones.getOrDefault(zone, ZoneState.IN) == ZoneState.OUT;
    }
}
