package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.SlidingWindowCounter;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.TimeSource;

/**
 * Limits the request rate to a cold backend server.
 *
 * <p>A backend server is also considered cold from a connection failure until its next heartbeat, because it may have
 * restarted. Confined to the traffic event loop.
 */
final class ColdStartLimiter {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final TimeSource time;
    private final SlidingWindowCounter sends;
    private Optional<Long> restartSuspectedNanos = Optional.empty();

    ColdStartLimiter(TimeSource time) {
        this.time = time;
        this.sends = new SlidingWindowCounter(time, WINDOW);
    }

    /** Handles a connection failure of the backend server. */
    void onConnectionFailure() {
        restartSuspectedNanos = Optional.of(time.monotonicNanos());
    }

    /** Returns whether the backend server is considered cold. */
    boolean isCold(LocalBackend backend) {
        if (restartSuspectedNanos
                .filter(since -> backend.lastHeartbeatAt().startNanos() - since > 0)
                .isPresent()) {
            restartSuspectedNanos = Optional.empty();
        }
        return restartSuspectedNanos.isPresent() || backend.isCold(time);
    }

    /** Returns whether the rate limit allows another request now. */
    boolean allowsSend(LocalBackend backend, Optional<ServicePolicy> policy) {
        double limit = policy.map(ServicePolicy::coldRequestsPerSecond).orElse(0.0);
        return limit <= 0 || !isCold(backend) || sends.count() + 1 <= limit;
    }

    void recordSend() {
        sends.record();
    }

    /** Returns the time until the rate limit allows another request. */
    Duration retryAfter() {
        return sends.timeUntilNextExpiry();
    }
}
