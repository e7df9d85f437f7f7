package io.daisyhoist.daemon.request;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.daisyhoist.core.membership.Member;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.routing.BackendCandidate;
import io.daisyhoist.core.routing.BackendSelector;
import io.daisyhoist.core.routing.RoutingSnapshot;

/**
 * Selects the backend server for a request without a key and counts the requests in flight to each. Confined to the
 * traffic event loop.
 */
final class KeylessLoadBalancer {
    /**
     * Assumed limit of a backend server whose daemon has not reported a load yet, equal to the limit of a cold start.
     */
    private static final int UNREPORTED_LIMIT = 2;

    private static final Duration UNREPORTED_AGE = Duration.ofMinutes(1);

    private final BackendSelector selector;
    private final PeerLoads loads;
    private final Map<DaemonId, Integer> inFlight = new HashMap<>();

    KeylessLoadBalancer(BackendSelector selector, PeerLoads loads) {
        this.selector = selector;
        this.loads = loads;
    }

    /** Selects a member that is not excluded, or any member if all are excluded. */
    Optional<Member> select(RoutingSnapshot routing, ServiceName service, Set<DaemonId> excluded) {
        List<Member> members = routing.eligibleMembers(service);
        List<Member> untried = members.stream()
                .filter(member -> !excluded.contains(member.session().daemon()))
                .toList();
        return selector.select((untried.isEmpty() ? members : untried)
                        .stream().map(this::toCandidate).toList())
                .flatMap(selected -> routing.member(selected.daemon()));
    }

    void requestStarted(DaemonId daemon) {
        inFlight.merge(daemon, 1, Integer::sum);
    }

    void requestEnded(DaemonId daemon) {
        inFlight.computeIfPresent(daemon, (ignored, count) -> count > 1 ? count - 1 : null);
    }

    private BackendCandidate toCandidate(Member member) {
        DaemonId daemon = member.session().daemon();
        PeerLoads.Report report = loads.load(daemon).orElse(new PeerLoads.Report(0, UNREPORTED_LIMIT, UNREPORTED_AGE));
        return new BackendCandidate(
                daemon,
                member.zone(),
                inFlight.getOrDefault(daemon, 0),
                report.inFlight(),
                report.limit(),
                report.age());
    }
}
