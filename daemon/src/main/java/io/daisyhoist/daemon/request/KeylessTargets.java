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
import io.daisyhoist.core.routing.RoutingView;

/**
 * Chooses the backend server for a request without a key and counts the requests in flight there. Confined to the traffic
 * event loop.
 */
final class KeylessTargets {
    /** Assumed limit of a backend server whose daemon has not reported yet; that of a cold start. */
    private static final int UNREPORTED_LIMIT = 2;

    private static final Duration UNREPORTED_AGE = Duration.ofMinutes(1);

    private final BackendSelector selector;
    private final PeerLoads loads;
    private final Map<DaemonId, Integer> inFlight = new HashMap<>();

    KeylessTargets(BackendSelector selector, PeerLoads loads) {
        this.selector = selector;
        this.loads = loads;
    }

    /** Chooses a member that is not excluded; any member when all are. */
    Optional<Member> choose(RoutingView view, ServiceName service, Set<DaemonId> excluded) {
        List<Member> all = view.selectable(service);
        List<Member> fresh = all.stream()
                .filter(member -> !excluded.contains(member.session().daemon()))
                .toList();
        return selector.select((fresh.isEmpty() ? all : fresh)
                        .stream().map(this::candidate).toList())
                .flatMap(chosen -> view.member(chosen.daemon()));
    }

    void begin(DaemonId daemon) {
        inFlight.merge(daemon, 1, Integer::sum);
    }

    void end(DaemonId daemon) {
        inFlight.computeIfPresent(daemon, (known, count) -> count > 1 ? count - 1 : null);
    }

    private BackendCandidate candidate(Member member) {
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
