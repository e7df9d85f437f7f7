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
import io.daisyhoist.core.routing.BackendLoads.Candidate;

/**
 * What the daemon knows of the fleet at one moment. Immutable.
 */
public final class FleetSnapshot {
    /** Knows nothing. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(Optional.empty(), Set.of(), Map.of(), Map.of());

    private final Optional<FleetConfig> config;
    private final Set<AvailabilityZone> evacuated;
    private final Map<DaemonId, FleetMember> members;
    private final Map<ServiceName, RangeTable> tables;
    private final Map<ServiceName, List<Candidate>> candidates = new HashMap<>();

    /**
     * Creates a snapshot.
     *
     * @param config newest configuration; empty before the first was read
     * @param evacuated availability zones that get no new work
     * @param members daemons by name
     * @param tables assigned keys of each service with keys
     */
    public FleetSnapshot(
            Optional<FleetConfig> config,
            Set<AvailabilityZone> evacuated,
            Map<DaemonId, FleetMember> members,
            Map<ServiceName, RangeTable> tables) {
        this.config = config;
        this.evacuated = Set.copyOf(evacuated);
        this.members = Map.copyOf(members);
        this.tables = Map.copyOf(tables);
        this.members.values().stream()
                .sorted((one, other) -> one.daemon().compareTo(other.daemon()))
                .filter(member -> !this.evacuated.contains(member.availabilityZone()))
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

    /** Returns whether an availability zone gets no new work. */
    public boolean isEvacuated(AvailabilityZone zone) {
        return evacuated.contains(zone);
    }

    /** Returns the daemons by name. */
    public Map<DaemonId, FleetMember> members() {
        return members;
    }

    /** Returns the backend servers of a service that take new work. */
    public List<Candidate> candidates(ServiceName service) {
        return candidates.getOrDefault(service, List.of());
    }

    /** Returns the assigned keys of a service. */
    public Optional<RangeTable> table(ServiceName service) {
        return Optional.ofNullable(tables.get(service));
    }
}
