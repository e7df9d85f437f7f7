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
    private final LoadBalancer loadTracker = new LoadBalancer(time, new SplittableRandom(1), ZONE);

    private static Candidate candidate(String name) {
        return new Candidate(new DaemonId(name), ZONE, 6);
    }

    private Optional<Candidate> choose() {
        return loadTracker.select(List.of(A, B), Set.of());
    }

    /** Guards against ignoring load caused by other daemons. */
    @Test
    void choose_highReportedLoad_prefersTheOther() {
        loadTracker.onReport(A.daemon(), new LoadBalancer.Report(5, 6, 1));
        loadTracker.onReport(B.daemon(), new LoadBalancer.Report(0, 6, 1));
        assertEquals(Optional.of(B), choose());
    }

    /** Guards against avoiding a backend server permanently because of an outdated load report. */
    @Test
    void choose_outdatedReport_isIgnored() {
        loadTracker.onReport(A.daemon(), new LoadBalancer.Report(60, 6, 1));
        time.advance(Duration.ofSeconds(2));
        loadTracker.onSend(B.daemon());
        assertEquals(Optional.of(A), choose());
    }

    /** Guards against sending as many requests to a slow backend server as to a fast one. */
    @Test
    void choose_slowResponses_prefersTheOther() {
        for (int i = 0; i < 30; i++) {
            loadTracker.onResponse(A.daemon(), "route", Duration.ofMillis(400));
            loadTracker.onResponse(B.daemon(), "route", Duration.ofMillis(50));
        }
        assertEquals(Optional.of(B), choose());
    }

    /**
     * Guards against requests to a daemon that stopped responding with requests in flight, as after a power failure.
     */
    @Test
    void choose_silentDaemon_isSelectedOnlyAsLastResort() {
        loadTracker.onSend(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 5; i++) {
            loadTracker.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), choose());
        assertEquals(Optional.of(A), loadTracker.select(List.of(A), Set.of()));
    }

    /** Guards against one request in ten waiting for a connection to an instance that no longer exists. */
    @Test
    void choose_unreachableDaemon_isAvoidedWithExponentialBackoff() {
        loadTracker.onUnreachable(A.daemon());
        loadTracker.onUnreachable(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 3; i++) {
            loadTracker.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), choose());
        time.advance(Duration.ofMillis(200));
        assertEquals(Optional.of(A), choose());
    }

    @Test
    void choose_excluded_isNotSelected() {
        assertEquals(Optional.of(B), loadTracker.select(List.of(A, B), Set.of(A.daemon())));
        assertEquals(Optional.empty(), loadTracker.select(List.of(A), Set.of(A.daemon())));
    }
}
