package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlowdownTrackerTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final SlowdownTracker tracker = new SlowdownTracker(time);

    @Test
    void isSlow_recentSlowdownReport_isTrue() {
        tracker.onReport(3);
        assertTrue(tracker.isSlow());
    }

    /** Guards against avoiding a backend server forever after its last response reported a slowdown. */
    @Test
    void isSlow_expiredReport_isFalse() {
        tracker.onReport(3);
        time.advance(Duration.ofMillis(301));
        assertFalse(tracker.isSlow());
    }
}
