package io.daisyhoist.mesh.request;

import java.time.Duration;
import java.util.Optional;

/** Bounds of the delay after which a client is told to retry. Stateless. */
final class RetryDelay {
    private static final Duration DEFAULT = Duration.ofMillis(200);
    private static final Duration MIN = Duration.ofMillis(30);

    /** Clients retry within a third of their remaining time or not at all. */
    private static final int REMAINING_DIVISOR = 3;

    private RetryDelay() {}

    /** Returns the suggested delay within the bounds that follow from the remaining time of the client. */
    static Duration bounded(Optional<Duration> suggested, Duration remaining) {
        Duration delay = suggested.orElse(DEFAULT);
        Duration max = remaining.dividedBy(REMAINING_DIVISOR);
        Duration bounded = delay.compareTo(max) > 0 ? max : delay;
        return bounded.compareTo(MIN) < 0 ? MIN : bounded;
    }
}
