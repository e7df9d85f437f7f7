package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlowdownTrackerTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final SlowdownTracker slowdown = new SlowdownTracker(time);

    @Test
    void isSlow_recentSlowdownReport_isTrue() {
        slowdown.onReport(3);
        assertTrue(slowdown.isSlow());
    }

    /** Guards against avoiding a backend server forever after its last response reported a slowdown. */
    @Test
    void isSlow_expiredReport_isFalse() {
        slowdown.onReport(3);
        time.advance(Duration.ofMillis(301));
        assertFalse(slowdown.isSlow());
    }
}
