package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

import io.daisyhoist.core.admission.RateWindow;
import io.daisyhoist.core.fleet.LocalBackend;
import io.daisyhoist.core.route.ServicePolicy;
import io.daisyhoist.core.time.TimeSource;

/**
 * Keeps a cold backend server from getting more requests per second than it bears.
 *
 * <p>A backend server is also held to be cold from a failed connection until its next heartbeat, because it may have been
 * restarted. Confined to the traffic event loop.
 */
final class ColdGuard {
    private static final Duration WINDOW = Duration.ofSeconds(1);

    private final TimeSource time;
    private final RateWindow sends;
    private Optional<Long> suspectedNanos = Optional.empty();

    ColdGuard(TimeSource time) {
        this.time = time;
        this.sends = new RateWindow(time, WINDOW);
    }

    /** Learns that a connection to the backend server failed. */
    void onConnectionFailure() {
        suspectedNanos = Optional.of(time.monotonicNanos());
    }

    /** Returns whether the backend server is held to be cold. */
    boolean isCold(LocalBackend backend) {
        if (suspectedNanos
                .filter(since -> backend.heardAt().startNanos() - since > 0)
                .isPresent()) {
            suspectedNanos = Optional.empty();
        }
        return suspectedNanos.isPresent() || backend.isCold(time);
    }

    /** Returns whether another request may be sent now. */
    boolean mayBeSent(LocalBackend backend, Optional<ServicePolicy> policy) {
        double limit = policy.map(ServicePolicy::coldRequestsPerSecond).orElse(0.0);
        return limit <= 0 || !isCold(backend) || sends.count() + 1 <= limit;
    }

    /** Counts a request that is being sent. */
    void onSend() {
        sends.record();
    }

    /** Returns the time after which a cold backend server may be sent another request. */
    Duration untilRoom() {
        return sends.untilNextLeaves();
    }
}
