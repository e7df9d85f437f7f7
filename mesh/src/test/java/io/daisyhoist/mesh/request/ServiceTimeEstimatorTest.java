package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ServiceTimeEstimatorTest {
    private final ServiceTimeEstimator times = new ServiceTimeEstimator();

    /** Guards against short calls of normal rank that wait behind long browsing requests. */
    @Test
    void shortRequestRank_shortNormalRequests_isTheirRank() {
        times.record(Rank.NORMAL, Duration.ofMillis(20));
        times.record(Rank.BROWSE, Duration.ofMillis(200));
        assertEquals(Optional.of(Rank.NORMAL), times.shortRequestRank());
    }

    /** Guards against reserving a slot for requests that take as long as the others. */
    @Test
    void shortRequestRank_similarTimes_isEmpty() {
        times.record(Rank.NORMAL, Duration.ofMillis(80));
        times.record(Rank.BROWSE, Duration.ofMillis(100));
        assertEquals(Optional.empty(), times.shortRequestRank());
    }

    /** Guards against reserving a slot for short browsing requests at the expense of urgent ones. */
    @Test
    void shortRequestRank_lowerRankIsShort_isEmpty() {
        times.record(Rank.NORMAL, Duration.ofMillis(200));
        times.record(Rank.BROWSE, Duration.ofMillis(20));
        assertEquals(Optional.empty(), times.shortRequestRank());
    }

    @Test
    void shortRequestRank_onlyOneRankSeen_isEmpty() {
        times.record(Rank.NORMAL, Duration.ofMillis(20));
        assertEquals(Optional.empty(), times.shortRequestRank());
    }
}
