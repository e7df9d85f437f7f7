package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.routing.LoadBalancer.Candidate;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LoadBalancerTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final Candidate A = candidate("a");
    private static final Candidate B = candidate("b");

    private final ManualTimeSource time = new ManualTimeSource();
    private final LoadBalancer loadBalancer = new LoadBalancer(time, new SplittableRandom(1), ZONE);

    private static Candidate candidate(String name) {
        return new Candidate(new DaemonId(name), ZONE, 6);
    }

    private Optional<Candidate> select() {
        return loadBalancer.select(List.of(A, B), Set.of());
    }

    /** Guards against ignoring load caused by other daemons. */
    @Test
    void select_highReportedLoad_prefersTheOther() {
        loadBalancer.onReport(A.daemon(), new LoadBalancer.Report(5, 6, 1));
        loadBalancer.onReport(B.daemon(), new LoadBalancer.Report(0, 6, 1));
        assertEquals(Optional.of(B), select());
    }

    /** Guards against avoiding a backend server permanently because of an outdated load report. */
    @Test
    void select_outdatedReport_isIgnored() {
        loadBalancer.onReport(A.daemon(), new LoadBalancer.Report(60, 6, 1));
        time.advance(Duration.ofSeconds(2));
        loadBalancer.onSend(B.daemon());
        assertEquals(Optional.of(A), select());
    }

    /** Guards against sending as many requests to a slow backend server as to a fast one. */
    @Test
    void select_slowResponses_prefersTheOther() {
        for (int i = 0; i < 30; i++) {
            loadBalancer.onResponse(A.daemon(), "route", Duration.ofMillis(400));
            loadBalancer.onResponse(B.daemon(), "route", Duration.ofMillis(50));
        }
        assertEquals(Optional.of(B), select());
    }

    /**
     * Guards against requests to a daemon that stopped responding with requests in flight, as after a power failure.
     */
    @Test
    void select_unresponsiveDaemon_isSelectedOnlyAsLastResort() {
        loadBalancer.onSend(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 5; i++) {
            loadBalancer.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), select());
        assertEquals(Optional.of(A), loadBalancer.select(List.of(A), Set.of()));
    }

    /** Guards against one request in ten waiting for a connection to an instance that no longer exists. */
    @Test
    void select_unreachableDaemon_isAvoidedWithExponentialBackoff() {
        loadBalancer.onUnreachable(A.daemon());
        loadBalancer.onUnreachable(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 3; i++) {
            loadBalancer.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), select());
        time.advance(Duration.ofMillis(200));
        assertEquals(Optional.of(A), select());
    }

    @Test
    void select_excluded_isNotSelected() {
        assertEquals(Optional.of(B), loadBalancer.select(List.of(A, B), Set.of(A.daemon())));
        assertEquals(Optional.empty(), loadBalancer.select(List.of(A), Set.of(A.daemon())));
    }
}
