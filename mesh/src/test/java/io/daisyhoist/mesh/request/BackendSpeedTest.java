package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;

import io.daisyhoist.core.routing.LoadBalancer;
import io.daisyhoist.core.time.ManualTimeSource;
import io.daisyhoist.mesh.connection.BackendOutcome;
import io.daisyhoist.mesh.connection.ForwardCodec;
import io.vertx.core.buffer.Buffer;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class BackendSpeedTest {
    private static final Duration QUICK = Duration.ofMillis(1);

    private final BackendSpeed speed = new BackendSpeed(new ManualTimeSource());

    private static BackendOutcome answered(int status) {
        return new BackendOutcome.Answered(status, List.of(), Buffer.buffer());
    }

    /** Guards against errors and rejections, which are quick, that make a backend server look fast. */
    @Test
    void report_quickErrorsAndRejections_doNotRaiseTheRate() {
        for (int i = 0; i < 10; i++) {
            speed.onOutcome(answered(200), Duration.ofMillis(100));
            speed.onOutcome(answered(500), QUICK);
            speed.onOutcome(answered(404), QUICK);
            speed.onOutcome(
                    new BackendOutcome.NotRun(BackendOutcome.NotRunReason.REJECTED, true, Duration.ZERO), QUICK);
        }
        LoadBalancer.Report report = speed.report(3, 6, 1);
        assertEquals(10, report.completedPerSlotSecond(), 0.01);
        assertEquals(0.5, report.rejectedShare(), 0.01);
    }

    /** Guards against reports that lose the rate or the rejections on their way. */
    @Test
    void report_encodedAndDecoded_isTheSame() {
        LoadBalancer.Report report = new LoadBalancer.Report(3, 6, 1.5, 7.25, 0.5);
        assertEquals(
                report,
                ForwardCodec.load(ForwardCodec.encode(answered(200), report).getForwardResponse())
                        .orElseThrow());
    }
}
