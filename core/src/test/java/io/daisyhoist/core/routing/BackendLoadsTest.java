package io.daisyhoist.core.routing;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.daisyhoist.core.model.AvailabilityZone;
import io.daisyhoist.core.model.DaemonId;
import io.daisyhoist.core.routing.BackendLoads.Candidate;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class BackendLoadsTest {
    private static final AvailabilityZone ZONE = new AvailabilityZone("z");
    private static final Candidate A = candidate("a");
    private static final Candidate B = candidate("b");

    private final ManualTimeSource time = new ManualTimeSource();
    private final BackendLoads loads = new BackendLoads(time, new SplittableRandom(1), ZONE);

    private static Candidate candidate(String name) {
        return new Candidate(new DaemonId(name), ZONE, 6);
    }

    private Optional<Candidate> choose() {
        return loads.choose(List.of(A, B), Set.of());
    }

    /** Guards against load that other daemons have caused and this one does not see. */
    @Test
    void choose_reportedBusy_prefersTheOther() {
        loads.onReport(A.daemon(), new BackendLoads.Report(5, 6, 1));
        loads.onReport(B.daemon(), new BackendLoads.Report(0, 6, 1));
        assertEquals(Optional.of(B), choose());
    }

    /** Guards against old reports that keep work away from a backend server for good. */
    @Test
    void choose_oldReport_isForgotten() {
        loads.onReport(A.daemon(), new BackendLoads.Report(60, 6, 1));
        time.advance(Duration.ofSeconds(2));
        loads.onSend(B.daemon());
        assertEquals(Optional.of(A), choose());
    }

    /** Answers a straggler: the slower one gets less work. */
    @Test
    void choose_slowAnswers_prefersTheOther() {
        for (int i = 0; i < 30; i++) {
            loads.onAnswer(A.daemon(), "route", Duration.ofMillis(400));
            loads.onAnswer(B.daemon(), "route", Duration.ofMillis(50));
        }
        assertEquals(Optional.of(B), choose());
    }

    /** Guards against requests to a daemon that owes answers and is silent, as one that has lost power. */
    @Test
    void choose_silentDaemon_isTheLastResort() {
        loads.onSend(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 5; i++) {
            loads.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), choose());
        assertEquals(Optional.of(A), loads.choose(List.of(A), Set.of()));
    }

    /** Guards against a request in ten that waits for a connection to an instance that is gone. */
    @Test
    void choose_unreachableDaemon_isLeftOutForLongerEachTime() {
        loads.onUnreachable(A.daemon());
        loads.onUnreachable(A.daemon());
        time.advance(Duration.ofMillis(700));
        for (int i = 0; i < 3; i++) {
            loads.onSend(B.daemon());
        }
        assertEquals(Optional.of(B), choose());
        time.advance(Duration.ofMillis(200));
        assertEquals(Optional.of(A), choose());
    }

    @Test
    void choose_excluded_isNotChosen() {
        assertEquals(Optional.of(B), loads.choose(List.of(A, B), Set.of(A.daemon())));
        assertEquals(Optional.empty(), loads.choose(List.of(A), Set.of(A.daemon())));
    }
}
