package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.Rank;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ServiceTimeEstimatorTest {
    private final ServiceTimeEstimator estimator = new ServiceTimeEstimator();

    /** Guards against short calls of normal rank that wait behind long browsing requests. */
    @Test
    void shortRequestRank_shortNormalRequests_isTheirRank() {
        estimator.record(Rank.NORMAL, Duration.ofMillis(20));
        estimator.record(Rank.BROWSE, Duration.ofMillis(200));
        assertEquals(Optional.of(Rank.NORMAL), estimator.shortRequestRank());
    }

    /** Guards against reserving a slot for requests that take as long as the others. */
    @Test
    void shortRequestRank_similarTimes_isEmpty() {
        estimator.record(Rank.NORMAL, Duration.ofMillis(80));
        estimator.record(Rank.BROWSE, Duration.ofMillis(100));
        assertEquals(Optional.empty(), estimator.shortRequestRank());
    }

    /** Guards against reserving a slot for short browsing requests at the expense of urgent ones. */
    @Test
    void shortRequestRank_lowerRankIsShort_isEmpty() {
        estimator.record(Rank.NORMAL, Duration.ofMillis(200));
        estimator.record(Rank.BROWSE, Duration.ofMillis(20));
        assertEquals(Optional.empty(), estimator.shortRequestRank());
    }

    @Test
    void shortRequestRank_onlyOneRankRecorded_isEmpty() {
        estimator.record(Rank.NORMAL, Duration.ofMillis(20));
        assertEquals(Optional.empty(), estimator.shortRequestRank());
    }
}
