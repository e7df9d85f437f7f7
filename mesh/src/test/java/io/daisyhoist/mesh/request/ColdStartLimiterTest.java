package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import io.daisyhoist.core.fleet.BackendHeartbeat;
import io.daisyhoist.core.fleet.BackendProcessId;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.model.Endpoint;
import io.daisyhoist.core.model.ServiceName;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.ManualTimeSource;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ColdStartLimiterTest {
    private static final ServiceName SERVICE = new ServiceName("s");
    private static final Optional<ServicePolicy> POLICY =
            Optional.of(new ServicePolicy(SERVICE, false, Duration.ofSeconds(3), 14, 110));

    private final ManualTimeSource time = new ManualTimeSource();
    private final ColdStartLimiter limiter = new ColdStartLimiter(time);

    private LocalBackend backend(long coldMillis) {
        BackendHeartbeat heartbeat = new BackendHeartbeat(
                new BackendProcessId("b", 1),
                1,
                new Endpoint("127.0.0.1", 1000),
                SERVICE,
                6,
                false,
                Duration.ofMillis(coldMillis),
                List.of(),
                List.of());
        return LocalBackend.afterHeartbeat(Optional.empty(), heartbeat, time);
    }

    private int sendAll(LocalBackend backend) {
        int sent = 0;
        while (sent < 100 && limiter.allowsSend(backend, POLICY)) {
            limiter.recordSend();
            sent++;
        }
        return sent;
    }

    /** Guards against exceeding the rate limit of a cold backend server in any one-second window. */
    @Test
    void allowsSend_cold_limitsEachSecond() {
        LocalBackend cold = backend(3_000);
        assertEquals(14, sendAll(cold));
        time.advance(Duration.ofMillis(1_000));
        assertEquals(0, sendAll(cold));
        time.advance(Duration.ofMillis(1));
        assertEquals(14, sendAll(cold));
    }

    /** Guards against ignoring requests that were sent before the backend server became cold. */
    @Test
    void allowsSend_becomesCold_countsEarlierSends() {
        LocalBackend warm = backend(0);
        for (int i = 0; i < 20; i++) {
            limiter.recordSend();
        }
        assertTrue(limiter.allowsSend(warm, POLICY));
        assertFalse(limiter.allowsSend(backend(3_000), POLICY));
    }

    /** Guards against full load on a process that restarted under the same id, before its next heartbeat. */
    @Test
    void isCold_connectionFailure_untilNextHeartbeat() {
        LocalBackend before = backend(0);
        time.advance(Duration.ofMillis(100));
        limiter.onConnectionFailure();
        assertTrue(limiter.isCold(before));
        time.advance(Duration.ofMillis(100));
        assertFalse(limiter.isCold(backend(0)));
    }
}
