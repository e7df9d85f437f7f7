package io.daisyhoist.mesh.request;

import java.time.Duration;

import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SlowdownTest {
    private final ManualTimeSource time = new ManualTimeSource();
    private final Slowdown slowdown = new Slowdown(time);

    @Test
    void isSlowNow_neighbourAtWork_isTrue() {
        slowdown.onReport(3);
        assertTrue(slowdown.isSlowNow());
    }

    /** Guards against a backend server that is passed over for good after its last answer was slow. */
    @Test
    void isSlowNow_figureIsOld_isFalse() {
        slowdown.onReport(3);
        time.advance(Duration.ofMillis(301));
        assertFalse(slowdown.isSlowNow());
    }
}
