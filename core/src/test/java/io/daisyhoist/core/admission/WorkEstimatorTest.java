package io.daisyhoist.core.admission;

import java.time.Duration;

import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class WorkEstimatorTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final WorkEstimator estimator = new WorkEstimator(time, 0.05, 0.05);

    @Test
    void estimate_nothingRecorded_isUnknown() {
        assertEquals(WorkEstimate.UNKNOWN, estimator.estimate("a"));
    }

    /** Guards against an estimate that one run of extreme length raises beyond what requests may wait. */
    @Test
    void record_extremeRun_movesMeanLittle() {
        estimator.record("a", 100);
        estimator.record("a", 1_000_000);
        assertEquals(115, estimator.estimate("a").meanNanos());
    }

    /** Guards against an estimate that refuses all requests that could correct it. */
    @Test
    void plannedNanos_noResponsesForLong_decreases() {
        estimator.record("a", 100);
        time.advance(Duration.ofSeconds(25));
        assertEquals(25, estimator.estimate("a").plannedNanos());
    }

    /** Guards against state that grows with the names of kinds, for example over many configurations. */
    @Test
    void numberAndEstimate_manyKinds_areBounded() {
        KindNumbers numbers = new KindNumbers();
        for (int i = 0; i < 1_000; i++) {
            estimator.record("kind " + i, 100);
            assertTrue(numbers.number("kind " + i, 1) < KindShares.MAX_KINDS);
        }
        assertEquals(numbers.number("kind 998", 1), numbers.number("kind 999", 1));
        assertEquals(100, estimator.estimate("kind that was never recorded").meanNanos());
    }

    /** Guards against customers of low priority that starve on a route that others use with a high one. */
    @Test
    void number_sameRouteOtherPriority_isAnotherKind() {
        KindNumbers numbers = new KindNumbers();
        assertNotEquals(numbers.number("r", 1), numbers.number("r", 5));
    }
}
