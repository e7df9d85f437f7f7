package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

import io.daisyhoist.core.fleet.FleetMember;
import io.daisyhoist.core.keyrange.RangeAssignment;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.Route;
import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;
import io.daisyhoist.mesh.version.FleetSnapshot;

/**
 * Chooses the backend server for the next attempt of a request: the owner of its key, or one that the load balancer selects.
 * Confined to the traffic event loop.
 */
final class BackendChoice {
    private final LoadBalancer loadBalancer;
    private final ServiceName service;

    BackendChoice(LoadBalancer loadBalancer, ServiceName service) {
        this.loadBalancer = loadBalancer;
        this.service = service;
    }

    /**
     * Selects a backend server that has not been tried; empty if there is none.
     *
     * @param key key of the request if its service is keyed
     * @param tried daemons whose backend servers have been tried
     * @param rejected whether a backend server has rejected the request
     */
    Optional<FleetMember> select(FleetSnapshot fleet, OptionalInt key, Set<DaemonId> tried, boolean rejected) {
        if (key.isPresent()) {
            return fleet.table(service)
                    .flatMap(table -> table.find(key.getAsInt()))
                    .filter(assignment -> !tried.contains(assignment.daemon()))
                    .flatMap(assignment -> owner(fleet, assignment));
        }
        List<Candidate> candidates = fleet.candidates(service);
        Optional<Candidate> selected = rejected
                ? loadBalancer.selectAfterRejection(candidates, tried)
                : loadBalancer.select(candidates, tried);
        return selected.map(candidate -> fleet.members().get(candidate.daemon()));
    }

    /** Returns the backend servers that can run the request: the owner of its key, or all of the service. */
    List<Candidate> possible(FleetSnapshot fleet, OptionalInt key) {
        List<Candidate> candidates = fleet.candidates(service);
        if (key.isEmpty()) {
            return candidates;
        }
        Optional<DaemonId> owner = select(fleet, key, Set.of(), false).map(FleetMember::daemon);
        return candidates.stream()
                .filter(candidate -> owner.filter(candidate.daemon()::equals).isPresent())
                .toList();
    }

    private static Optional<FleetMember> owner(FleetSnapshot fleet, RangeAssignment assignment) {
        return Optional.ofNullable(fleet.members().get(assignment.daemon()))
                .filter(member -> !fleet.isEvacuated(member.availabilityZone()))
                .filter(member -> member.backend()
                        .filter(backend -> backend.process().equals(assignment.process()))
                        .isPresent());
    }

    /** Returns the shortest expected run time at a backend server that has not been tried; zero if unknown. */
    Duration shortestRun(FleetSnapshot fleet, Route route, Set<DaemonId> tried) {
        return loadBalancer.shortestRun(route.name(), fleet.candidates(service), tried);
    }
}
