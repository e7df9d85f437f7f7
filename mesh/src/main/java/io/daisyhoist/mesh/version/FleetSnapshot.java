package io.daisyhoist.mesh.version;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeTable;
import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.FleetConfig;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;

/** Snapshot of the fleet state that the daemon has read. Immutable. */
public final class FleetSnapshot {
    /** Snapshot before the first read. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(Optional.empty(), Set.of(), Map.of(), Map.of());

    private final Optional<FleetConfig> config;
    private final Set<AvailabilityZone> evacuatedZones;
    private final Map<DaemonId, FleetMember> members;
    private final Map<ServiceName, RangeTable> rangeTables;
    private final Map<ServiceName, List<Candidate>> candidates = new HashMap<>();

    /**
     * Creates a snapshot.
     *
     * @param config newest configuration; empty before the first one was read
     * @param evacuatedZones evacuated availability zones, which get no new requests
     * @param members members by daemon id
     * @param rangeTables key assignments of each keyed service
     */
    public FleetSnapshot(
            Optional<FleetConfig> config,
            Set<AvailabilityZone> evacuatedZones,
            Map<DaemonId, FleetMember> members,
            Map<ServiceName, RangeTable> rangeTables) {
        this.config = config;
        this.evacuatedZones = Set.copyOf(evacuatedZones);
        this.members = Map.copyOf(members);
        this.rangeTables = Map.copyOf(rangeTables);
        this.members.values().stream()
                .sorted((one, other) -> one.daemon().compareTo(other.daemon()))
                .filter(member -> !this.evacuatedZones.contains(member.availabilityZone()))
                .forEach(this::addCandidate);
    }

    private void addCandidate(FleetMember member) {
        member.acceptingBackend()
                .ifPresent(backend -> candidates
                        .computeIfAbsent(member.service(), any -> new ArrayList<>())
                        .add(new Candidate(member.daemon(), member.availabilityZone(), backend.slots())));
    }

    /** Returns the newest configuration. */
    public Optional<FleetConfig> config() {
        return config;
    }

    /** Returns whether an availability zone is evacuated. */
    public boolean isEvacuated(AvailabilityZone zone) {
        return evacuatedZones.contains(zone);
    }

    /** Returns the members by daemon id. */
    public Map<DaemonId, FleetMember> members() {
        return members;
    }

    /** Returns the backend servers of a service that accept requests. */
    public List<Candidate> candidates(ServiceName service) {
        return candidates.getOrDefault(service, List.of());
    }

    /** Returns the key assignments of a service. */
    public Optional<RangeTable> table(ServiceName service) {
        return Optional.ofNullable(rangeTables.get(service));
    }
}
